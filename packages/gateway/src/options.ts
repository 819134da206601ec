/**
 * Settings of the gateway daemon: their schema, defaults and checks.
 *
 * All faults are reported in one go, each with its path, what was given and
 * what is expected.
 */
import * as EffectResult from "effect/Result";
import * as Schema from "effect/Schema";
import { err, ok, type Result } from "neverthrow";

const AddressOption = Schema.String.check(
  Schema.isPattern(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, {
    expected: "an IP number and a port, such as 127.0.0.1:8080",
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
    /** Where the platform asks whether the entry is ready. */
    readinessAddress: AddressOption,
    /** Where callers ask which entries to use. */
    directoryAddress: AddressOption,
    /** Frames between entries. */
    meshAddress: AddressOption,
    /** Datagrams between entries; the port is the same at all entries. */
    datagramAddress: AddressOption,
    /** Where metrics are served; the port of this address. */
    metricsAddress: AddressOption,
  }),
  /** Mesh addresses of a few entries, through which the others are found. */
  seeds: Schema.Array(AddressOption),
  discovery: Schema.Struct({
    /** Name of the plug-in that reads the discovery service. */
    source: Name,
    address: AddressOption,
  }),
  /** Name of the caller protocol plug-in. */
  protocol: Name,
  bounds: Schema.Struct({
    /** Time from the signal to stop to the end of the process. */
    graceSeconds: Seconds,
    /** Longest time that callers may keep an answer of the directory. */
    directoryAnswerSeconds: Seconds,
    /** Retries for each request, over the whole fleet. */
    retryShare: Amount,
    /** Retries in a window beside the share, over the whole fleet. */
    retryAllowance: Amount,
    retryWindowSeconds: Seconds,
    /** Health checks of a backend server in a second, over the whole fleet. */
    probesPerSecond: Amount,
  }),
});

export type GatewayOptions = typeof GATEWAY_OPTIONS_SCHEMA.Type;

export type OptionsInvalid = {
  readonly kind: "options-invalid";
  readonly detail: string;
};

/** Checks decoded JSON; unknown keys are ignored. */
export function parseGatewayOptions(
  value: unknown,
): Result<GatewayOptions, OptionsInvalid> {
  const checked = Schema.decodeUnknownResult(GATEWAY_OPTIONS_SCHEMA)(value, {
    errors: "all",
  });
  if (EffectResult.isSuccess(checked)) return ok(checked.success);
  return err({ kind: "options-invalid", detail: String(checked.failure) });
}
