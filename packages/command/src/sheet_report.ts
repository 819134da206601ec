/**
 * Reports of the sheet commands. The functions are pure, so that they can be
 * tested without files.
 */
import type { IntentionRow } from "@marigoldford/kernel/intention";
import { IntentionStore } from "@marigoldford/kernel/intention_store";
import { RoutingTable } from "@marigoldford/kernel/routing_table";
import type { SheetContent, SheetFailure } from "@marigoldford/kernel/sheet";

export type SheetReadFailure =
  | { readonly kind: "file-unreadable"; readonly path: string }
  | {
    readonly kind: "sheet";
    readonly path: string;
    readonly failure: SheetFailure;
  };

export type SheetCommandReport = {
  readonly isOk: boolean;
  readonly lines: readonly string[];
};

function faultLines(sheet: SheetContent): string[] {
  return sheet.faults.map(({ line, column, given, expected }) =>
    `line ${line}, column ${column}: given "${given}", expected ${expected}`
  );
}

/** Reports rows of one sheet that name the same intention. */
function duplicateLines(rows: readonly IntentionRow[]): string[] {
  const firstLines = new Map<string, number>();
  const lines: string[] = [];
  for (const { intention, origin } of rows) {
    const first = firstLines.get(intention);
    if (first === undefined) firstLines.set(intention, origin.line);
    else {
      lines.push(
        `line ${origin.line}: intention ${intention} is also on line ${first}` +
          "; remove one",
      );
    }
  }
  return lines;
}

/** Reports services without a backend server. */
function emptyServiceLines(rows: readonly IntentionRow[]): string[] {
  const active = rows.filter(({ isWithdrawn }) => !isWithdrawn);
  const table = new RoutingTable(active);
  return table.services
    .filter(({ backendServers }) => backendServers.length === 0)
    .map(({ service }) => `service ${service} has no backend server`);
}

/** Reports invalid cells, duplicate intentions and services without servers. */
export function checkSheet(sheet: SheetContent): SheetCommandReport {
  const faults = [
    ...faultLines(sheet),
    ...duplicateLines(sheet.rows),
    ...emptyServiceLines(sheet.rows),
  ];
  const summary = `${sheet.rows.length} good rows, ${faults.length} faults`;
  return { isOk: faults.length === 0, lines: [...faults, summary] };
}

/** Reports what publishing the next sheet over the current one would change. */
export function diffSheets(
  change: { readonly current: SheetContent; readonly next: SheetContent },
): SheetCommandReport {
  const store = new IntentionStore();
  store.merge(change.current.rows);
  const before = new Map(store.rows().map((row) => [row.intention, row]));
  const report = store.merge(change.next.rows);
  const adopted = report.adopted.map((row) =>
    describeAdopted(row, before.get(row.intention))
  );
  const refused = report.refused.map(({ row, inForce, reason }) =>
    `refused: ${row.intention} revision ${row.revision} on line ` +
    `${row.origin.line}, ${reason}; revision ${inForce.revision} stays; ` +
    `use revision ${inForce.revision + 1} to replace it`
  );
  const nextIntentions = new Set(
    change.next.rows.map(({ intention }) => intention),
  );
  const missing = [...before.values()]
    .filter((row) => !nextIntentions.has(row.intention) && !row.isWithdrawn)
    .map((row) =>
      `stays in force although not in the next sheet: ${row.intention}`
    );
  const faults = faultLines(change.next);
  const lines = [...adopted, ...refused, ...missing, ...faults];
  const isOk = refused.length === 0 && faults.length === 0;
  return { isOk, lines: lines.length > 0 ? lines : ["no change"] };
}

function describeAdopted(
  row: IntentionRow,
  previous: IntentionRow | undefined,
): string {
  const action = row.isWithdrawn
    ? "withdraws"
    : previous === undefined
    ? "adds"
    : "replaces";
  return `${action}: ${row.intention} revision ${row.revision}`;
}

/** Reports the service and the backend servers that a call is routed to. */
export function explainCall(
  sheet: SheetContent,
  call: {
    readonly method: string;
    readonly host: string;
    readonly path: string;
  },
): SheetCommandReport {
  const store = new IntentionStore();
  store.merge(sheet.rows);
  const table = new RoutingTable(store.rows());
  const routed = table.route(call);
  if (routed === undefined) {
    const line = `no service rule matches ${call.method} ${call.path}`;
    return { isOk: false, lines: [line] };
  }
  const { service, isProtected } = routed;
  const serverLines = service.backendServers.map(
    ({ address, failureDomain }) => {
      const state = table.retiring.has(address) ? "retiring" : "eligible";
      return `  ${address} in ${failureDomain}: ${state}`;
    },
  );
  const kind = isProtected ? "protected" : "repeatable";
  const heading = `service ${service.service}, ${kind}`;
  return { isOk: serverLines.length > 0, lines: [heading, ...serverLines] };
}
