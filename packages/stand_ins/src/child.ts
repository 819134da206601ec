/**
 * Starts a program of this repository as a child process.
 */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";

/** The line that every program prints to standard output once it listens. */
export type ListeningLine = Readonly<Record<string, unknown>> & {
  readonly event: "listening";
};

export type ChildOptions = {
  readonly script: string;
  readonly scriptArguments: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
};

const START_TIMEOUT_MILLISECONDS = 20_000;

/** A child process; signals go only to processes started through this class. */
export class Child {
  readonly #process: ChildProcess;
  readonly #exited: Promise<number | null>;
  #standardError = "";

  constructor(options: ChildOptions) {
    const { script, scriptArguments, environment } = options;
    this.#process = spawn(process.execPath, [script, ...scriptArguments], {
      stdio: ["pipe", "pipe", "pipe"],
      env: { ...process.env, ...environment },
    });
    this.#process.stderr?.on(
      "data",
      (chunk) => this.#standardError += String(chunk),
    );
    this.#exited = new Promise((resolve) => {
      this.#process.once("exit", (code) => resolve(code));
    });
  }

  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** Text that the process has written to standard error so far. */
  get standardError(): string {
    return this.#standardError;
  }

  get exited(): Promise<number | null> {
    return this.#exited;
  }

  /** Resolves with the line that names the addresses of the process. */
  waitUntilListening(): Promise<ListeningLine> {
    return new Promise((resolve, reject) => {
      let text = "";
      const timer = setTimeout(() => {
        reject(
          new Error(
            `Process did not start listening in time: ${this.#standardError}`,
          ),
        );
      }, START_TIMEOUT_MILLISECONDS);
      this.#process.stdout?.on("data", (chunk) => {
        text += String(chunk);
        const end = text.indexOf("\n");
        if (end < 0) return;
        clearTimeout(timer);
        resolve(JSON.parse(text.slice(0, end)) as ListeningLine);
      });
      this.#exited.then((code) => {
        clearTimeout(timer);
        reject(
          new Error(`Process exited with code ${code}: ${this.#standardError}`),
        );
      });
    });
  }

  signal(name: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT"): void {
    this.#process.kill(name);
  }

  /** Sends SIGKILL and waits until the process has exited. */
  async kill(): Promise<void> {
    if (this.#process.exitCode !== null) return;
    this.signal("SIGKILL");
    await this.#exited;
  }
}
