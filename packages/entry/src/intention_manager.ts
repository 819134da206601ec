/**
 * Holds the intentions in force, the rows of configuration that operators
 * write: merges rows from the platform and from peers, rebuilds the routing
 * table, and records which rows were refused.
 */
import type { IntentionRow } from "@marigoldford/kernel/intention";
import {
  IntentionStore,
  type MergeResult,
  type RefusedRow,
} from "@marigoldford/kernel/intention_store";
import { RoutingTable } from "@marigoldford/kernel/routing_table";
import { readSheet, type SheetFailure } from "@marigoldford/kernel/sheet";
import type { SheetRowFault } from "@marigoldford/kernel/sheet";
import { Logger } from "@marigoldford/logger/logger";
import type { PlatformValues } from "@marigoldford/configuration_service/platform_client";

export type RowSource = "platform" | "peer";

/** Invalid rows in the newest version of one value of the platform. */
export type SheetFaults = {
  readonly valueName: string;
  readonly platformVersion: number;
  readonly rows: readonly SheetRowFault[];
  readonly failure?: SheetFailure;
};

export type IntentionManagerHooks = {
  readonly onChange: (table: RoutingTable) => void;
  /** Called with newly adopted rows, to push them to peers. */
  readonly onAdopted: (rows: readonly IntentionRow[]) => void;
};

const LOG = new Logger("intentions");

export class IntentionManager {
  readonly #store = new IntentionStore();
  readonly #hooks: IntentionManagerHooks;
  readonly #faults = new Map<string, SheetFaults>();
  #table = new RoutingTable([]);

  constructor(hooks: IntentionManagerHooks) {
    this.#hooks = hooks;
  }

  get store(): IntentionStore {
    return this.#store;
  }

  get routingTable(): RoutingTable {
    return this.#table;
  }

  get hasIntentions(): boolean {
    return this.#store.size > 0;
  }

  refusedRows(): RefusedRow[] {
    return this.#store.refusedRows();
  }

  sheetFaults(): SheetFaults[] {
    return [...this.#faults.values()];
  }

  /** Parses every value of the platform and merges its rows. */
  applyPlatformValues(values: PlatformValues): void {
    const rows: IntentionRow[] = [];
    for (const { name, version, value } of values.values) {
      const source = { valueName: name, platformVersion: version };
      const sheet = readSheet(value, source);
      if (sheet.isErr()) this.#setFaults({ ...source, failure: sheet.error });
      else {
        rows.push(...sheet.value.rows);
        this.#setFaults({ ...source, rows: sheet.value.faults });
      }
    }
    this.merge(rows, "platform");
  }

  merge(rows: readonly IntentionRow[], source: RowSource): void {
    const report = this.#store.merge(rows);
    this.#log(report, source);
    if (report.adopted.length === 0) return;
    this.#table = new RoutingTable(this.#store.rows());
    this.#hooks.onChange(this.#table);
    this.#hooks.onAdopted(report.adopted);
  }

  #setFaults(
    found: Omit<SheetFaults, "rows"> & { rows?: readonly SheetRowFault[] },
  ): void {
    const faults: SheetFaults = { ...found, rows: found.rows ?? [] };
    const previous = this.#faults.get(faults.valueName);
    const isOlder = previous !== undefined &&
      previous.platformVersion > faults.platformVersion;
    if (isOlder) return;
    this.#faults.set(faults.valueName, faults);
    for (const { line, column, given, expected } of faults.rows) {
      LOG.write("row-faulty", () => ({
        value: faults.valueName,
        line,
        column,
        given,
        expected,
      }));
    }
  }

  #log(report: MergeResult, source: RowSource): void {
    for (const row of report.adopted) {
      LOG.write("in-force", () => ({
        intention: row.intention,
        revision: row.revision,
        withdrawn: row.isWithdrawn,
        source,
        value: row.origin.valueName,
        version: row.origin.platformVersion,
        line: row.origin.line,
      }));
    }
    for (const { row, reason, inForce } of report.refused) {
      LOG.write("row-refused", () => ({
        intention: row.intention,
        revision: row.revision,
        reason,
        inForceRevision: inForce.revision,
        value: row.origin.valueName,
        version: row.origin.platformVersion,
        line: row.origin.line,
      }));
    }
  }
}
