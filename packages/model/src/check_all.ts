/**
 * Runs every model check and prints its number of states, bounds and verdict.
 */
import process from "node:process";
import { checkAttempts } from "./attempt_check.ts";
import { checkProtectedCalls } from "./protected_call_check.ts";
import { checkIntentions } from "./intention_check.ts";
import type { CheckReport } from "./explore.ts";

function printReport(report: CheckReport): void {
  const verdict = report.counterexample === undefined
    ? "holds"
    : "counterexample";
  const expected = report.expectsCounterexample ? "counterexample" : "holds";
  process.stdout.write(
    `${report.model}, ${report.variant}: ${report.states} states, bounds ` +
      `${report.bounds}; ${report.property}: ${verdict} (expected ${expected})\n`,
  );
  if (report.counterexample === undefined) return;
  process.stdout.write(`  trace: ${report.counterexample.join(" > ")}\n`);
}

const reports = [
  ...checkProtectedCalls(),
  ...checkIntentions(),
  ...checkAttempts(),
];
let failures = 0;
for (const report of reports) {
  printReport(report);
  const hasCounterexample = report.counterexample !== undefined;
  if (hasCounterexample !== report.expectsCounterexample) failures += 1;
}
process.stdout.write(
  `model: ${reports.length - failures} checks as expected, `,
);
process.stdout.write(`${failures} not as expected\n`);
process.exitCode = failures === 0 ? 0 : 1;
