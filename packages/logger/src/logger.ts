/**
 * Structured log lines on top of `debug`.
 *
 * A line is an event name followed by `name=value` pairs. Values with white
 * space or quotes are written as JSON strings, so a line can be read by a
 * person and split by a program. Fields are computed only when the namespace
 * is switched on, which keeps a silent logger off the hot path.
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

/** Formats one line; exported so that tools can print the same shape. */
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

  /** Whether lines of this component are written at all. */
  get isEnabled(): boolean {
    return this.#debugger.enabled;
  }

  /** Writes one line; `fields` runs only when the component is switched on. */
  write(event: string, fields: LogFieldsSource): void {
    if (!this.#debugger.enabled) return;
    this.#debugger("%s", formatLogLine(event, fields()));
  }
}

/** Switches namespaces on, in the syntax of `DEBUG`. */
export function enableLogs(namespaces: string): void {
  createDebug.enable(namespaces);
}
