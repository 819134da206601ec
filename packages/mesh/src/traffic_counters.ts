/**
 * Counts messages and bytes by direction and kind, for the status page and
 * for the capacity figures.
 */
import type { MeshMessageKind } from "./messages.ts";

export type TrafficDirection = "sent" | "received";

export type TrafficCount = {
  readonly direction: TrafficDirection;
  readonly kind: MeshMessageKind;
  messages: number;
  bytes: number;
};

export class TrafficCounters {
  readonly #counts = new Map<string, TrafficCount>();

  record(
    direction: TrafficDirection,
    message: { readonly kind: MeshMessageKind; readonly bytes: number },
  ): void {
    const name = `${direction} ${message.kind}`;
    const count = this.#counts.get(name) ??
      { direction, kind: message.kind, messages: 0, bytes: 0 };
    count.messages += 1;
    count.bytes += message.bytes;
    this.#counts.set(name, count);
  }

  counts(): TrafficCount[] {
    return [...this.#counts.values()];
  }
}
