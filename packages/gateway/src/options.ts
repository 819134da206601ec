/**
 * Settings of the gateway daemon: schema and validation.
 *
 * All errors are reported together, each with its path, the given value and
 * what is expected.
 */
import * as EffectResult from "effect/Result";
import * as Schema from "effect/Schema";
import { err, ok, type Result } from "neverthrow";
import { IPV4_ADDRESS } from "@marigoldford/kernel/address";

const AddressOption = Schema.String.check(
  Schema.isPattern(IPV4_ADDRESS, {
    expected: "an IP address and a port, such as 127.0.0.1:8080",
  }),
);
const Name = Schema.String.check(
  Schema.isPattern(/^[\w.:-]{1,128}$/, {
    expected: "1 to 128 letters, digits, or . _ : -",
  }),
);
const Seconds = Schema.Finite.check(
  Schema.isBetween({ minimum: 0, maximum: 86_400 }, {
    expected: "a number of seconds from 0 to 86400",
  }),
);
const Amount = Schema.Finite.check(
  Schema.isBetween({ minimum: 0, maximum: 1_000_000_000 }, {
    expected: "a number from 0 to 1000000000",
  }),
);

export const GATEWAY_OPTIONS_SCHEMA = Schema.Struct({
  instance: Schema.Struct({
    name: Name,
    failureDomain: Name,
    /** Where callers send requests. */
    callAddress: AddressOption,
    /** Where the platform polls the readiness of the entry. */
    readinessAddress: AddressOption,
    /** Where callers look up which entries to use. */
    directoryAddress: AddressOption,
    /** TCP frames between entries. */
    meshAddress: AddressOption,
    /** UDP datagrams between entries; all entries use the same port. */
    datagramAddress: AddressOption,
    /** Requests that peers pass on; all entries use the same port. */
    forwardAddress: AddressOption,
    /** Where metrics are served. */
    metricsAddress: AddressOption,
  }),
  /** Mesh addresses of a few entries through which a new one joins. */
  seeds: Schema.Array(AddressOption),
  discovery: Schema.Struct({
    /** Name of the discovery source plug-in. */
    source: Name,
    address: AddressOption,
  }),
  /** Name of the caller protocol plug-in. */
  protocol: Name,
  bounds: Schema.Struct({
    /** Time from SIGTERM or SIGINT to the exit of the process. */
    graceSeconds: Seconds,
    /** Time in which a published configuration must take effect. */
    configurationEffectSeconds: Seconds,
    /** Time in which a server that leaves must get no more requests. */
    leavingEffectSeconds: Seconds,
    /** Longest time that callers may cache an answer of the directory. */
    directoryAnswerSeconds: Seconds,
    /** Retries per request, over the whole fleet. */
    retryShare: Amount,
    /** Additional retries per window, over the whole fleet. */
    retryAllowance: Amount,
    retryWindowSeconds: Seconds,
    /** Probes of each backend server per second, over the whole fleet. */
    probesPerSecond: Amount,
  }),
  /** What the instance has; the limits for callers are derived from it. */
  limits: Schema.optionalKey(Schema.Struct({
    memoryMegabytes: Schema.optionalKey(Amount),
    descriptors: Schema.optionalKey(Amount),
    /** Requests without an answer on one connection. */
    unansweredRequests: Schema.optionalKey(Amount),
    /** Chunks of bodies beyond which connections take turns. */
    smallChunksPerSecond: Schema.optionalKey(Amount),
  })),
});

export type GatewayOptions = typeof GATEWAY_OPTIONS_SCHEMA.Type;

export type OptionsInvalid = {
  readonly kind: "options-invalid";
  readonly detail: string;
};

/** Validates parsed JSON; unknown keys are ignored. */
export function parseGatewayOptions(
  value: unknown,
): Result<GatewayOptions, OptionsInvalid> {
  const checked = Schema.decodeUnknownResult(GATEWAY_OPTIONS_SCHEMA)(value, {
    errors: "all",
  });
  if (EffectResult.isSuccess(checked)) return ok(checked.success);
  return err({ kind: "options-invalid", detail: String(checked.failure) });
}
