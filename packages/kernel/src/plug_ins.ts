/**
 * Registry of plug-ins.
 *
 * Most plug-ins are factory functions of a context and, where needed, options.
 * Modules register their plug-ins under a name, and settings and the command
 * line select them by that name.
 */
import { err, ok, type Result } from "neverthrow";

export type PlugInUnknown = {
  readonly kind: "plug-in-unknown";
  readonly given: string;
  readonly known: readonly string[];
};

/** Named plug-ins of one type. */
export class PlugInRegistry<PlugIn> {
  readonly #plugIns = new Map<string, PlugIn>();

  /** Adds a plug-in; a later one of the same name replaces it. */
  register(name: string, plugIn: PlugIn): void {
    this.#plugIns.set(name, plugIn);
  }

  find(name: string): Result<PlugIn, PlugInUnknown> {
    const plugIn = this.#plugIns.get(name);
    if (plugIn !== undefined) return ok(plugIn);
    return err({ kind: "plug-in-unknown", given: name, known: this.names() });
  }

  names(): string[] {
    return [...this.#plugIns.keys()].sort();
  }
}
