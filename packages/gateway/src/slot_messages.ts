/**
 * Messages by which entries pass on slots of backend servers, and their readers.
 */
import { Result } from "neverthrow";
import {
  type JsonObject,
  readInteger,
  readNumber,
  readObject,
  type ValueMalformed,
} from "@marigoldford/kernel/field_readers";
import {
  readAmount,
  readId,
  readName,
  readOptional,
  readSlots,
} from "@marigoldford/kernel/foreign_fields";
import type { ServerReport } from "@marigoldford/kernel/server_load";
import type { WaitingRequest } from "@marigoldford/kernel/slot_waiters";
import type { ServiceName } from "@marigoldford/kernel/types";

/** A server that has room, as it has just reported. */
export type SlotOffer = {
  readonly server: string;
  readonly service: ServiceName;
  readonly report: ServerReport;
  readonly ageMilliseconds: number;
  /** How often it was granted to an entry that had no use for it. */
  readonly passes: number;
};

export type SlotDatagram = {
  readonly kind: "slots";
  readonly from: string;
  /** The first request that waits at the sender. */
  readonly wanted?: WaitingRequest & { readonly service: ServiceName };
  /** The receiver may grant it. */
  readonly offered?: SlotOffer;
  /** The receiver may use it. */
  readonly granted?: SlotOffer;
};

const MAXIMUM_SLOWDOWN = 1_000;
const MAXIMUM_MILLISECONDS = 86_400_000;

type Read<Value> = Result<Value, ValueMalformed>;

export function readSlotFields(message: JsonObject) {
  return Result.combine([
    readOptional(message, "wanted", readWanted),
    readOptional(message, "offered", readOffer),
    readOptional(message, "granted", readOffer),
  ]).map(([wanted, offered, granted]) => ({
    ...wanted,
    ...offered,
    ...granted,
  }));
}

function readWanted(
  value: unknown,
  path: string,
): Read<NonNullable<SlotDatagram["wanted"]>> {
  return readObject(value, path).andThen((wanted) =>
    Result.combine([
      readName(wanted.service, `${path}.service`),
      readAmount(wanted.priority, `${path}.priority`),
      readNumber(wanted.spareMilliseconds, `${path}.spareMilliseconds`, {
        minimum: -MAXIMUM_MILLISECONDS,
        maximum: MAXIMUM_MILLISECONDS,
      }),
      readNumber(wanted.maximumSlowdown, `${path}.maximumSlowdown`),
    ])
  ).map(([service, priority, spareMilliseconds, maximumSlowdown]) => ({
    service,
    priority,
    spareMilliseconds,
    maximumSlowdown,
  }));
}

function readOffer(value: unknown, path: string): Read<SlotOffer> {
  return readObject(value, path).andThen((offer) =>
    Result.combine([
      readId(offer.server, `${path}.server`),
      readName(offer.service, `${path}.service`),
      readReport(offer.report, `${path}.report`),
      readNumber(offer.ageMilliseconds, `${path}.ageMilliseconds`, {
        maximum: MAXIMUM_MILLISECONDS,
      }),
      readInteger(offer.passes, `${path}.passes`),
    ])
  ).map(([server, service, report, ageMilliseconds, passes]) => ({
    server,
    service,
    report,
    ageMilliseconds,
    passes,
  }));
}

function readReport(value: unknown, path: string): Read<ServerReport> {
  return readObject(value, path).andThen((report) =>
    Result.combine([
      readAmount(report.running, `${path}.running`),
      readAmount(report.waiting, `${path}.waiting`),
      readSlots(report.slots, `${path}.slots`),
      readNumber(report.slowdown, `${path}.slowdown`, {
        maximum: MAXIMUM_SLOWDOWN,
      }),
    ])
  ).map(([running, waiting, slots, slowdown]) => ({
    running,
    waiting,
    slots,
    slowdown,
  }));
}
