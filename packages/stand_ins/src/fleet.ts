/**
 * A small deployment on loopback: platform, backend servers and entries, each
 * a process of its own. The demo, the failure tests and the benchmarks start
 * their processes through it.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { BackendBehaviour, Ledger } from "./backend_behaviour.ts";
import { Child } from "./child.ts";
import { postJson, readJson } from "./http_requests.ts";
import type { PlatformCommand } from "./platform_stand_in.ts";

export type BackendSpecification = {
  readonly service: string;
  readonly failureDomain: string;
  readonly connections?: number;
  readonly behaviour: Partial<BackendBehaviour>;
};

export type RunningBackend = BackendSpecification & {
  readonly address: string;
  readonly child: Child;
};

export type RunningEntry = {
  readonly child: Child;
  readonly callAddress: string;
  readonly meshAddress: string;
  readonly meshListenAddress: string;
  readonly incarnation: string;
  readonly failureDomain: string;
};

/** Sections laid over the settings that the fleet gives an entry. */
export type SettingsOverride = Readonly<
  Record<string, Readonly<Record<string, unknown>>>
>;

const DIRECTORY = fileURLToPath(new URL(".", import.meta.url));

function scriptPath(name: string): string {
  return join(DIRECTORY.replace(/src\/?$/, "dist"), name);
}

const COMMAND_SCRIPT = join(
  DIRECTORY,
  "../../command/dist/main.js",
);

const CLOSE_TOGETHER = 20;

export class Fleet {
  readonly backends: RunningBackend[] = [];
  readonly entries: RunningEntry[] = [];
  readonly #children: Child[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "marigoldford-"));
  #platformAddress = "";
  #settingsCount = 0;

  get platformAddress(): string {
    return this.#platformAddress;
  }

  async startPlatform(): Promise<void> {
    const child = this.#spawn("platform_stand_in.js", []);
    const line = await child.waitUntilListening();
    this.#platformAddress = String(line.address);
  }

  /** Starts backend servers, several to a process. */
  async startBackends(
    specifications: readonly BackendSpecification[],
    perProcess: number = CLOSE_TOGETHER,
  ): Promise<RunningBackend[]> {
    const started: RunningBackend[] = [];
    for (let at = 0; at < specifications.length; at += perProcess) {
      const group = specifications.slice(at, at + perProcess);
      started.push(...await this.#startGroup(group));
    }
    this.backends.push(...started);
    return started;
  }

  async startEntry(
    failureDomain: string,
    override: SettingsOverride = {},
  ): Promise<RunningEntry> {
    const path = this.#writeSettings(failureDomain, override);
    const child = new Child({
      script: COMMAND_SCRIPT,
      scriptArguments: ["entry", "--settings", path],
    });
    this.#children.push(child);
    const line = await child.waitUntilListening();
    const entry: RunningEntry = {
      child,
      failureDomain,
      callAddress: String(line.callAddress),
      meshAddress: String(line.meshAddress),
      meshListenAddress: String(line.meshListenAddress),
      incarnation: String(line.incarnation),
    };
    this.entries.push(entry);
    await this.registerEntry(entry, "live");
    return entry;
  }

  registerEntry(entry: RunningEntry, state: "live" | "leaving") {
    return this.sendPlatformCommand({
      kind: "instance",
      instance: {
        address: entry.callAddress,
        meshAddress: entry.meshAddress,
        role: "entry",
        failureDomain: entry.failureDomain,
        state,
      },
    });
  }

  sendPlatformCommand(command: PlatformCommand): Promise<void> {
    return postJson(this.#platformAddress, {
      path: "/control",
      value: command,
    });
  }

  publish(value: string, name = "sheet/main"): Promise<void> {
    return this.sendPlatformCommand({ kind: "publish", name, value });
  }

  setBehaviour(
    address: string,
    part: Partial<BackendBehaviour>,
  ): Promise<void> {
    return postJson(address, { path: "/control", value: part });
  }

  readLedger(address: string): Promise<Ledger> {
    return readJson<Ledger>(address, "/ledger");
  }

  /** How often a key ran, over all backend servers that still answer. */
  async countRuns(key: string): Promise<number> {
    let runs = 0;
    for (const { address } of this.backends) {
      const ledger = await this.readLedger(address).catch(() => undefined);
      const row = ledger?.runs.find((candidate) => candidate.key === key);
      runs += row?.count ?? 0;
    }
    return runs;
  }

  readStatus<Value>(entry: RunningEntry): Promise<Value> {
    return readJson<Value>(entry.callAddress, "/marigoldford/status");
  }

  async stop(): Promise<void> {
    for (const child of this.#children) {
      child.signal("SIGCONT");
      await child.kill();
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startGroup(
    group: readonly BackendSpecification[],
  ): Promise<RunningBackend[]> {
    const behaviours = JSON.stringify(group.map(({ behaviour }) => behaviour));
    const child = this.#spawn("backend_stand_in.js", [behaviours]);
    const line = await child.waitUntilListening();
    const addresses = line.addresses as string[];
    return group.map((specification, index) => ({
      ...specification,
      child,
      address: addresses[index],
    }));
  }

  #spawn(script: string, commandArguments: readonly string[]): Child {
    const child = new Child({
      script: scriptPath(script),
      scriptArguments: commandArguments,
    });
    this.#children.push(child);
    return child;
  }

  #writeSettings(failureDomain: string, override: SettingsOverride): string {
    const settings: Record<string, unknown> = {
      ...override,
      instance: {
        callAddress: "127.0.0.1:0",
        meshAddress: "127.0.0.1:0",
        failureDomain,
        ...override.instance,
      },
      platform: {
        url: `http://${this.#platformAddress}`,
        ...override.platform,
      },
    };
    this.#settingsCount += 1;
    const path = join(this.#folder, `entry_${this.#settingsCount}.json`);
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }
}
