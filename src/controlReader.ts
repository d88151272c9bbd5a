/** Reads and replays the control log for operators' commands, also when old records of the log have expired. */
import { Map as ImmutableMap } from "immutable";
import { createControlState, replayRecord, stateOfCheckpoint } from "./controlLog.ts";
import type { ControlState, RecordVerdict } from "./controlLog.ts";
import { CommandError } from "./errors.ts";
import { HttpClients } from "./httpClients.ts";
import type { LogBatch, LogClient } from "./logClient.ts";
import type { CheckpointRecord } from "./logRecords.ts";
import { Metrics } from "./metrics.ts";
import { PeerAuth } from "./peerAuth.ts";
import { sendRpc } from "./rpc.ts";
import type { Address } from "./types.ts";

const PEER_TIMEOUT_MS = 2_000;

export class ControlReader {
    private readonly log: LogClient;
    private readonly nodes: readonly Address[];
    private readonly peerKey: string | undefined;
    private replayed = createControlState();
    /** Verdicts by record id. When a record was appended twice, the verdict on the first copy is kept. */
    private readonly verdicts = new Map<string, RecordVerdict>();

    /** `nodes` provide the control state when records have expired from the log and no checkpoint covers them. */
    constructor(log: LogClient, nodes: readonly Address[] = [], peerKey?: string) {
        this.log = log;
        this.nodes = nodes;
        this.peerKey = peerKey;
    }

    get state(): ControlState {
        return this.replayed;
    }

    /** Verdict on a record; undefined while the record has not been read. */
    verdictOf(id: string): RecordVerdict | undefined {
        const verdict = this.verdicts.get(id);
        // A duplicate is a copy of an accepted record, which may precede the state that this reader started from.
        if (verdict === "duplicate") return "accepted";
        return verdict ?? (this.replayed.config?.id === id ? "accepted" : undefined);
    }

    /**
     * Reads and replays records up to the tail. If there are none, waits up to `waitMs` for a new one. Throws
     * `CommandError` if records have expired and neither a checkpoint nor a node covers them.
     */
    async readToTail(waitMs = 0): Promise<ControlState> {
        for (;;) {
            const result = await this.log.read(this.replayed.offset + 1, waitMs);
            if (result.type === "gone") {
                this.replayed = await this.findStateAfterGap(result.first);
                continue;
            }
            this.replay(result.batch);
            if (result.batch.next >= result.batch.tail) return this.replayed;
        }
    }

    private replay(batch: LogBatch): void {
        for (const { offset, record } of batch.records) {
            const { state, verdict } = replayRecord(this.replayed, offset, record);
            this.replayed = state;
            if (!this.verdicts.has(record.id)) this.verdicts.set(record.id, verdict);
        }
        // Records that cannot be parsed are skipped, but still advance the offset.
        this.replayed = { ...this.replayed, offset: Math.max(this.replayed.offset, batch.next - 1) };
    }

    /** Returns a state from which the log can be replayed; `first` is the first offset that the log still retains. */
    private async findStateAfterGap(first: number): Promise<ControlState> {
        const checkpoint = await this.findNewestCheckpoint(first);
        if (checkpoint !== undefined) return stateOfCheckpoint(checkpoint);
        for (const node of this.nodes) {
            const state = await readNodeState(node, this.peerKey);
            if (state !== undefined && state.offset >= first - 1) return state;
        }
        const message =
            `log service: records before offset ${first} have expired and no checkpoint covers them; `
            + "give --node with the peer address of a node that is up to date";
        throw new CommandError([{ code: "expired", path: [], message }]);
    }

    private async findNewestCheckpoint(first: number): Promise<CheckpointRecord | undefined> {
        let newest: CheckpointRecord | undefined;
        for (let from = first;;) {
            const result = await this.log.read(from, 0);
            if (result.type === "gone") return this.findNewestCheckpoint(result.first);
            for (const { record } of result.batch.records) {
                if (record.type !== "checkpoint" || record.asOf + 1 < first) continue;
                if (newest === undefined || record.asOf > newest.asOf) newest = record;
            }
            from = result.batch.next;
            if (from >= result.batch.tail) return newest;
        }
    }
}

/** Reads the control state of a node; undefined if the node does not respond. */
export async function readNodeState(node: Address, peerKey?: string): Promise<ControlState | undefined> {
    const clients = new HttpClients();
    const opts = { clients, auth: new PeerAuth(peerKey), metrics: new Metrics() };
    try {
        const response = await sendRpc(opts, node, { type: "control.state" }, PEER_TIMEOUT_MS);
        if (response?.type !== "control.state") return undefined;
        const { offset, config, views } = response;
        return { ...createControlState(), offset, config, views: ImmutableMap(Object.entries(views)) };
    }
    finally {
        await clients.close();
    }
}
