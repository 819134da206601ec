/**
 * Writes what was sent, answered and run to `record.txt`, one line an event
 * with the seconds since the start.
 */
import { writeFileSync } from "node:fs";

export class Recorder {
  #lines = [];
  #startedAt = performance.now();

  record = (event, fields = {}) => {
    const seconds = (performance.now() - this.#startedAt) / 1_000;
    const text = Object.entries(fields).map(([name, value]) =>
      `${name}=${value}`
    ).join(" ");
    this.#lines.push(`${seconds.toFixed(3)} ${event} ${text}`);
  };

  write(file) {
    writeFileSync(file, this.#lines.join("\n") + "\n");
  }
}
