/**
 * Fails if a name of the users' platform is used outside the adapter. Names on
 * the wire are decoded only in `platform/`; no other code may depend on them.
 */
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";

const ALLOWED = ["platform/", "deploy/", "journal/", "docs/"];
const SELF = "scripts/check_platform_names.mjs";
const SOURCE = /\.(ts|mjs|json|sh)$/;
const NAMES = [
  "kv-range",
  "kv-watch",
  "kv-key",
  "current_rev",
  "more_pages",
  "op/config",
  "op/evacuate",
  "route_type",
  "non_idempotent",
  "traffic_split",
  "timeout_s",
  "slo_s",
  "max_attempts",
  "health_check",
  "max_conns",
  "max_header_bytes",
  "max_body_bytes",
  "header_timeout_s",
  "idle_timeout_s",
  "warmup_left_s",
  "warmup_per_s",
  '"warmup-ms"',
  "ttl_s",
  "grace_s",
  "port_range",
  "retry_budget",
  "MARIGOLDFORD_BOOT",
  '"deadline-ms"',
  '"expected-instance"',
  '"instance-load"',
  '"instance-id"',
  '"not-executed"',
  '"response-signature"',
  '"server-limit"',
];

const files = execFileSync("git", ["ls-files"], { encoding: "utf8" })
  .split("\n")
  .filter((file) => SOURCE.test(file) && file !== SELF)
  .filter((file) => !ALLOWED.some((folder) => file.startsWith(folder)));

let violations = 0;
for (const file of files) {
  const text = readFileSync(file, "utf8").toLowerCase();
  for (const name of NAMES) {
    if (!text.includes(name.toLowerCase())) continue;
    process.stdout.write(`${file} contains ${name}; decode it in platform/\n`);
    violations += 1;
  }
}
if (violations > 0) process.exitCode = 1;
