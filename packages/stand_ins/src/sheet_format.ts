/**
 * Writes sheets for the demo, tests and benchmarks.
 */
import {
  SHEET_COLUMNS,
  type SheetColumn,
} from "@marigoldford/kernel/sheet_row";
import type { RunningBackend } from "./fleet.ts";

export type SheetRowValues = Partial<Record<SheetColumn, string | number>>;

/** CSV text with a header; cells are names and numbers and need no quotes. */
export function formatSheet(lines: readonly SheetRowValues[]): string {
  const rows = lines.map((line) =>
    SHEET_COLUMNS.map((column) => String(line[column] ?? "")).join(",")
  );
  return [SHEET_COLUMNS.join(","), ...rows].join("\n") + "\n";
}

/** A service rule for everything below `/<service>`. */
export function serviceRuleRow(service: string, revision = 1): SheetRowValues {
  return {
    intention: `rule-${service}`,
    revision,
    kind: "service-rule",
    service,
    path_prefix: `/${service}`,
  };
}

export function backendServerRow(
  backend: RunningBackend,
  revision = 1,
): SheetRowValues {
  return {
    intention: `server-${backend.address}`,
    revision,
    kind: "backend-server",
    service: backend.service,
    address: backend.address,
    failure_domain: backend.failureDomain,
    slots: backend.behaviour.slots ?? 2,
    connections: backend.connections ?? 250,
  };
}

/** Rules and backend servers of a deployment. */
export function deploymentRows(
  backends: readonly RunningBackend[],
): SheetRowValues[] {
  const services = new Set(backends.map(({ service }) => service));
  return [
    ...[...services].map((service) => serviceRuleRow(service)),
    ...backends.map((backend) => backendServerRow(backend)),
  ];
}
