/**
 * Exchanges messages with peers: heartbeats, intentions, leaving backend
 * servers, crash suspicions, forwarded calls and hand-overs.
 *
 * Each heartbeat goes to every peer and carries only the sender's own state, so
 * that no peer relays stale state of another. The interval grows with the number
 * of peers, which bounds the messages per second, and so their cost, at any size
 * of the fleet.
 */
import { Buffer } from "node:buffer";
import type { AdoptedTables } from "@marigoldford/kernel/adopted_tables";
import type {
  EntryDirectory,
  EntryRecord,
} from "@marigoldford/kernel/entry_directory";
import type { IntentionRow } from "@marigoldford/kernel/intention";
import type { LeavingServers } from "@marigoldford/kernel/leaving_servers";
import type { CrashSuspicion } from "@marigoldford/kernel/quarantine";
import type {
  Address,
  EntryState,
  Incarnation,
  RandomSource,
} from "@marigoldford/kernel/types";
import type { MeshConnection } from "@marigoldford/mesh/mesh_connection";
import { MeshNode } from "@marigoldford/mesh/mesh_node";
import type { MeshMessage, MessageOf } from "@marigoldford/mesh/messages";
import type { HandOverDirectory } from "./hand_over_directory.ts";
import type { IntentionManager } from "./intention_manager.ts";
import type { EntryOptions } from "./options.ts";

export type ForwardContent = Omit<MessageOf<"forward-call">, "kind" | "id">;
export type ForwardReply = Omit<MessageOf<"forward-answer">, "kind" | "id">;

export type MeshServiceHooks = {
  /** Answers a call that a peer forwards to this entry. */
  readonly onForward: (content: ForwardContent) => Promise<ForwardReply>;
  readonly onSuspicion: (suspicion: CrashSuspicion) => boolean;
};

export type MeshServiceOptions = {
  readonly settings: EntryOptions["mesh"];
  readonly incarnation: Incarnation;
  readonly listenHost: string;
  readonly listenPort: number;
  readonly random: RandomSource;
  readonly directory: EntryDirectory;
  readonly intentions: IntentionManager;
  readonly leavingServers: LeavingServers;
  readonly adopted: AdoptedTables;
  readonly handOvers: HandOverDirectory;
  readonly state: () => EntryState;
  readonly hooks: MeshServiceHooks;
};

const MAXIMUM_HEARTBEATS_PER_SECOND = 12;
const MILLISECONDS_PER_SECOND = 1_000;
const MISSED_HEARTBEATS_UNTIL_DEAD = 4;
const DIGEST_CHARACTERS = 10;
const ROWS_PER_MESSAGE = 500;
const SYNC_PEER_COUNT = 3;

export class MeshService {
  readonly node: MeshNode;
  readonly #options: MeshServiceOptions;
  /** Mesh addresses from the instance list, to contact unknown entries. */
  #listedAddresses: readonly Address[] = [];
  #ownRecord: EntryRecord | undefined;
  #heartbeatCount = 0;
  #intervalMilliseconds = 0;

  constructor(options: MeshServiceOptions) {
    this.#options = options;
    this.node = new MeshNode({
      incarnation: options.incarnation,
      listenHost: options.listenHost,
      listenPort: options.listenPort,
      idleTimeoutMilliseconds: options.settings.silenceMilliseconds,
      connectTimeoutMilliseconds: options.settings.connectTimeoutMilliseconds,
      onMessage: (message, connection) => this.#receive(message, connection),
    });
  }

  setListedAddresses(meshAddresses: readonly Address[]): void {
    this.#listedAddresses = meshAddresses;
  }

  /** Publishes this entry's own record to peers. */
  announce(record: EntryRecord): void {
    this.#ownRecord = record;
    this.#options.directory.mergeRecord(record);
    this.#broadcast({ kind: "entry-records", records: [record] });
  }

  /** Interval between heartbeats at the current size of the fleet. */
  heartbeatIntervalMilliseconds(): number {
    const minimum = this.#options.settings.heartbeatIntervalMilliseconds;
    const roundMilliseconds = this.#peers().size * MILLISECONDS_PER_SECOND;
    return Math.max(minimum, roundMilliseconds / MAXIMUM_HEARTBEATS_PER_SECOND);
  }

  /** A peer without a heartbeat for this long is considered dead. */
  failureTimeoutMilliseconds(): number {
    const minimum = this.#options.settings.silenceMilliseconds;
    const missed = MISSED_HEARTBEATS_UNTIL_DEAD * this.#intervalMilliseconds;
    return Math.max(minimum, missed);
  }

  /** Sends one heartbeat to every peer; returns the delay until the next. */
  sendHeartbeats(): number {
    const { directory, handOvers, state } = this.#options;
    this.#heartbeatCount += 1;
    const count = this.#heartbeatCount;
    directory.mergeHeartbeat({ ...this.#self(), count, ageMilliseconds: 0 });
    const handOversToSend = handOvers.all();
    const message: MeshMessage = {
      kind: "heartbeat",
      count,
      state: state(),
      digest: this.#digest(),
      ...(handOversToSend.length > 0 ? { handOvers: handOversToSend } : {}),
    };
    for (const address of this.#peers()) this.node.send(address, message);
    directory.expireEntries();
    this.#intervalMilliseconds = this.heartbeatIntervalMilliseconds();
    return this.#intervalMilliseconds;
  }

  pushIntentions(rows: readonly IntentionRow[]): void {
    for (let start = 0; start < rows.length; start += ROWS_PER_MESSAGE) {
      const part = rows.slice(start, start + ROWS_PER_MESSAGE);
      this.#broadcast({ kind: "intentions", rows: part });
    }
  }

  pushLeaving(address: Address): void {
    const marks = [{ address, ageMilliseconds: 0 }];
    this.#broadcast({ kind: "leaving-servers", marks });
  }

  pushSuspicion(suspicion: CrashSuspicion): void {
    this.#broadcast({ kind: "crash-suspicion", ...suspicion });
  }

  /**
   * Fetches state from a few peers at once; resolves with whether one gave a
   * usable answer. Used at the start and after a pause.
   */
  async sync(): Promise<boolean> {
    const addresses = this.#syncAddresses();
    if (addresses.length === 0) return false;
    const syncs = addresses.map((address) => this.#syncWith(address));
    return await anyTrue(syncs);
  }

  async forward(
    to: Incarnation,
    exchange: {
      readonly content: ForwardContent;
      readonly timeoutMilliseconds: number;
    },
  ): Promise<ForwardReply | undefined> {
    const record = this.#options.directory.find(to);
    if (record === undefined) return undefined;
    const reply = await this.node.request(record.meshAddress, {
      content: { kind: "forward-call", ...exchange.content },
      timeoutMilliseconds: exchange.timeoutMilliseconds,
    });
    return reply?.kind === "forward-answer" ? reply : undefined;
  }

  #self() {
    const { incarnation, state } = this.#options;
    return { incarnation, state: state() };
  }

  #digest(): string {
    const { store } = this.#options.intentions;
    return store.rootDigest().slice(0, DIGEST_CHARACTERS);
  }

  /** Mesh addresses of all peers that are considered alive. */
  #livePeers(): Address[] {
    const { directory, incarnation } = this.#options;
    return directory.liveEntries()
      .filter((record) => record.incarnation !== incarnation)
      .map((record) => record.meshAddress);
  }

  /** Live peers, and listed entries that are unknown or considered dead. */
  #peers(): Set<Address> {
    return new Set([
      ...this.#livePeers(),
      ...this.#listedPeers(),
    ]);
  }

  /** Listed addresses other than this entry's own. */
  #listedPeers(): Address[] {
    const own = this.#ownRecord?.meshAddress;
    return this.#listedAddresses.filter((address) => address !== own);
  }

  #syncAddresses(): Address[] {
    const known = [...this.#peers()];
    const start = Math.floor(this.#options.random() * known.length);
    return [...known.slice(start), ...known.slice(0, start)]
      .slice(0, SYNC_PEER_COUNT);
  }

  async #syncWith(address: Address): Promise<boolean> {
    const { settings, intentions } = this.#options;
    const buckets = intentions.store.bucketDigests();
    const reply = await this.node.request(address, {
      content: { kind: "sync-request", buckets },
      timeoutMilliseconds: settings.syncTimeoutMilliseconds,
    });
    if (reply?.kind !== "sync-reply") return false;
    this.#applySyncReply(reply);
    return reply.rows.length > 0 || intentions.hasIntentions;
  }

  #applySyncReply(reply: MessageOf<"sync-reply">): void {
    const { directory, handOvers, intentions, leavingServers } = this.#options;
    for (const record of reply.records) directory.mergeRecord(record);
    for (const heartbeat of reply.beats) directory.mergeHeartbeat(heartbeat);
    for (const handOver of reply.handOvers) handOvers.record(handOver);
    for (const { address, ageMilliseconds } of reply.marks) {
      leavingServers.recordSignal(address, { source: "peer", ageMilliseconds });
    }
    intentions.merge(reply.rows, "peer");
  }

  /** Sends to every live peer; only for changes, which are rare. */
  #broadcast(message: MeshMessage): void {
    for (const address of this.#livePeers()) this.node.send(address, message);
  }

  #receive(message: MeshMessage, connection: MeshConnection): void {
    switch (message.kind) {
      case "heartbeat":
        return this.#onHeartbeat(message, connection);
      case "who-is":
        return this.#onWhoIs(message, connection);
      case "entry-records":
        for (const record of message.records) {
          this.#options.directory.mergeRecord(record);
        }
        return;
      case "intentions":
        return this.#options.intentions.merge(message.rows, "peer");
      case "intention-digests":
        return this.#onDigests(message, connection);
      case "leaving-servers":
        return this.#onLeavingServers(message);
      case "crash-suspicion":
        this.#options.hooks.onSuspicion(message);
        return;
      case "sync-request":
        return this.#onSyncRequest(message, connection);
      case "forward-call":
        return this.#onForwardCall(message, connection);
      case "hand-over-part":
        return this.#onHandOverPart(message, connection);
    }
  }

  #onHeartbeat(
    message: MessageOf<"heartbeat">,
    connection: MeshConnection,
  ): void {
    const { directory, handOvers, intentions, incarnation } = this.#options;
    const sender = connection.peer;
    if (sender === undefined || sender === incarnation) return;
    const { count, state } = message;
    directory.mergeHeartbeat({
      incarnation: sender,
      count,
      state,
      ageMilliseconds: 0,
    });
    for (const handOver of message.handOvers ?? []) handOvers.record(handOver);
    if (directory.find(sender) === undefined) {
      connection.send({ kind: "who-is", incarnations: [sender] });
    }
    if (this.#ownRecord !== undefined && !connection.hasSentEntryRecord) {
      connection.hasSentEntryRecord = true;
      connection.send({ kind: "entry-records", records: [this.#ownRecord] });
    }
    if (message.digest === this.#digest()) return;
    connection.send({
      kind: "intention-digests",
      buckets: intentions.store.bucketDigests(),
      wantsReply: true,
    });
  }

  #onWhoIs(message: MessageOf<"who-is">, connection: MeshConnection): void {
    const records = message.incarnations.flatMap((name) =>
      this.#options.directory.find(name) ?? []
    );
    if (records.length > 0) {
      connection.send({ kind: "entry-records", records });
    }
  }

  /** Sends the rows of buckets that differ; both sides merge to the same set. */
  #onDigests(
    message: MessageOf<"intention-digests">,
    connection: MeshConnection,
  ): void {
    const { store } = this.#options.intentions;
    const rows = store.rowsDifferingFrom(message.buckets);
    for (let start = 0; start < rows.length; start += ROWS_PER_MESSAGE) {
      const part = rows.slice(start, start + ROWS_PER_MESSAGE);
      connection.send({ kind: "intentions", rows: part });
    }
    if (!message.wantsReply) return;
    connection.send({
      kind: "intention-digests",
      buckets: store.bucketDigests(),
      wantsReply: false,
    });
  }

  #onLeavingServers(message: MessageOf<"leaving-servers">): void {
    for (const { address, ageMilliseconds } of message.marks) {
      this.#options.leavingServers.recordSignal(address, {
        source: "peer",
        ageMilliseconds,
      });
    }
  }

  #onSyncRequest(
    message: MessageOf<"sync-request">,
    connection: MeshConnection,
  ): void {
    const { directory, handOvers, intentions, leavingServers } = this.#options;
    connection.send({
      kind: "sync-reply",
      id: message.id,
      rows: intentions.store.rowsDifferingFrom(message.buckets),
      marks: leavingServers.marks(),
      records: directory.liveEntries(),
      beats: directory.heartbeats(),
      handOvers: handOvers.all(),
    });
  }

  #onForwardCall(
    message: MessageOf<"forward-call">,
    connection: MeshConnection,
  ): void {
    this.#options.hooks.onForward(message).then((reply) => {
      connection.send({ kind: "forward-answer", id: message.id, ...reply });
    });
  }

  #onHandOverPart(
    message: MessageOf<"hand-over-part">,
    connection: MeshConnection,
  ): void {
    const { adopted, handOvers, incarnation } = this.#options;
    const records = message.records.map(copyBody);
    const accepted = adopted.accept({ ...message, records });
    connection.send({
      kind: "hand-over-acknowledgement",
      id: message.id,
      accepted,
    });
    if (!accepted || !adopted.isComplete(message.leaver)) return;
    const { leaver } = message;
    handOvers.record({ leaver, successor: incarnation });
  }
}

/** Copies an answer's body out of its frame, so that the frame can be freed. */
function copyBody<Item extends MessageOf<"hand-over-part">["records"][number]>(
  record: Item,
): Item {
  if (record.answer === undefined) return record;
  const body = Buffer.from(record.answer.body);
  return { ...record, answer: { ...record.answer, body } };
}

/** Resolves with true at the first true, or with false if all are false. */
function anyTrue(promises: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    let pending = promises.length;
    for (const promise of promises) {
      promise.then((value) => {
        pending -= 1;
        if (value || pending === 0) resolve(value);
      });
    }
  });
}
