/**
 * Structured log lines on top of `debug`.
 *
 * A line is an event name followed by `name=value` pairs. Values with white
 * space, quotes or equals signs are written as JSON strings, so that lines are
 * readable and can still be parsed. Fields are computed only when the namespace
 * is enabled, so that a disabled logger costs nothing on the hot path.
 */
import createDebug from "debug";

export type LogValue = string | number | boolean | undefined;
export type LogFields = Readonly<Record<string, LogValue>>;
export type LogFieldsSource = () => LogFields;

const NAMESPACE_ROOT = "marigoldford";

function formatValue(value: LogValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/** Formats one line; exported for tools that print the same format. */
export function formatLogLine(event: string, fields: LogFields): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return [event, ...pairs].join(" ");
}

/**
 * Writes lines of one component, for example `marigoldford:entry:decision`.
 * Lines go to standard error when the `DEBUG` environment variable, or the
 * `log` setting of the daemon, names the namespace.
 */
export class Logger {
  readonly #debugger: createDebug.Debugger;

  constructor(component: string) {
    this.#debugger = createDebug(`${NAMESPACE_ROOT}:${component}`);
  }

  get isEnabled(): boolean {
    return this.#debugger.enabled;
  }

  /** Writes one line; `fields` is called only when the component is enabled. */
  write(event: string, fields: LogFieldsSource): void {
    if (!this.#debugger.enabled) return;
    this.#debugger("%s", formatLogLine(event, fields()));
  }
}

/** Enables namespaces, given in the syntax of `DEBUG`. */
export function enableLogs(namespaces: string): void {
  createDebug.enable(namespaces);
}
