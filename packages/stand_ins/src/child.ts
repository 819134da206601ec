/**
 * Starts a program of this repository as a process and follows it.
 */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";

/** The line that every program prints once it listens. */
export type ListeningLine = Readonly<Record<string, unknown>> & {
  readonly event: "listening";
};

export type ChildOptions = {
  readonly script: string;
  readonly scriptArguments: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
};

const START_MILLISECONDS = 20_000;

/** A started process; only processes started here are ever signalled. */
export class Child {
  readonly #process: ChildProcess;
  readonly #exited: Promise<number | null>;
  #errors = "";

  constructor(options: ChildOptions) {
    const { script, scriptArguments: commandArguments, environment } = options;
    this.#process = spawn(process.execPath, [script, ...commandArguments], {
      stdio: ["pipe", "pipe", "pipe"],
      env: { ...process.env, ...environment },
    });
    this.#process.stderr?.on("data", (chunk) => this.#errors += String(chunk));
    this.#exited = new Promise((resolve) => {
      this.#process.once("exit", (code) => resolve(code));
    });
  }

  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** What the process wrote to standard error. */
  get standardError(): string {
    return this.#errors;
  }

  get exited(): Promise<number | null> {
    return this.#exited;
  }

  /** Resolves with the line that says where the process listens. */
  waitUntilListening(): Promise<ListeningLine> {
    return new Promise((resolve, reject) => {
      let text = "";
      const timer = setTimeout(() => {
        reject(new Error(`Process did not listen: ${this.#errors}`));
      }, START_MILLISECONDS);
      this.#process.stdout?.on("data", (chunk) => {
        text += String(chunk);
        const end = text.indexOf("\n");
        if (end < 0) return;
        clearTimeout(timer);
        resolve(JSON.parse(text.slice(0, end)) as ListeningLine);
      });
      this.#exited.then((code) => {
        clearTimeout(timer);
        reject(new Error(`Process ended with ${code}: ${this.#errors}`));
      });
    });
  }

  signal(name: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT"): void {
    this.#process.kill(name);
  }

  /** Ends the process at once and waits for its end. */
  async kill(): Promise<void> {
    if (this.#process.exitCode !== null) return;
    this.signal("SIGKILL");
    await this.#exited;
  }
}
