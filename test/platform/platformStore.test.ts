/** When a node reads the node records: of two nodes that store theirs, the later one must find the earlier one. */
import { expect } from "chai";
import { PlatformStore } from "../../platform/platformStore.ts";
import { StoreError } from "../../platform/storeClient.ts";
import type { RecordBatch, StoreClient } from "../../platform/storeClient.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import type { StoreRole } from "../../src/policy/storeRole.ts";
import { waitFor } from "../support/platformMesh.ts";
import { createStoreListener } from "../support/storeListener.ts";

describe("the node records", () => {
    it("are read again if this node's record is stored during a read", async () => {
        const endReads: ((batch: RecordBatch) => void)[] = [];
        let readsAfterWrite = 0;
        let isWritten = false;
        const client: Pick<StoreClient, "readNewest" | "read" | "append" | "close"> = {
            readNewest: topic =>
                topic === "keyed.op"
                    ? new Promise(() => undefined)
                    : new Promise(resolve => endReads.push(resolve)),
            read: async (_, from) => {
                if (isWritten) readsAfterWrite++;
                return { records: [], nextOffset: from, isOffsetOutOfRange: false };
            },
            append: async () => {
                isWritten = true;
            },
            close: () => undefined,
        };
        const store = new PlatformStore(client as StoreClient, new EventLog({ write: () => undefined }));
        store.start(createStoreListener());
        await waitFor("the first read", () => endReads.length === 1);
        store.publish("n", {
            name: "n",
            address: "127.0.0.1:1",
            dataCentre: "a",
            startedAt: 1,
            serial: 1,
            target: undefined,
        });
        await waitFor("the write", () => isWritten);
        await new Promise(resolve => setTimeout(resolve, 20));
        endReads[0]!({ records: [], nextOffset: 0 });
        await waitFor("a read after the write", () => readsAfterWrite === 1);
        store.stop();
        expect(endReads).to.have.length(1);
    });
});

describe("the node records of a store that goes back", () => {
    // Guards against a lost wake-up: the records were read after this node's write only with the next poll, up to 30 s later.
    it("are read again if this node's record is stored while one of a node that has left is written", async () => {
        const makeRecord = (name: string) => ({
            name,
            address: "127.0.0.1:1",
            dataCentre: "a",
            startedAt: 1,
            serial: 1,
            target: undefined,
        });
        let reads = 0;
        let isOwnWritten = false;
        let failWrite: (() => void) | undefined;
        const client: Pick<StoreClient, "readNewest" | "read" | "append" | "close"> = {
            readNewest: async topic => {
                if (topic === "keyed.op") return new Promise(() => undefined);
                const records = [{ key: "left", value: Buffer.from("{}") }];
                return { records, nextOffset: 1, era: ++reads };
            },
            read: async (_, from) => ({ records: [], nextOffset: from, isOffsetOutOfRange: true }),
            append: (_, { key }) => {
                isOwnWritten ||= key === "own";
                if (key === "own") return Promise.resolve();
                return new Promise((__, reject) => failWrite = () => reject(new StoreError(409, "conflict")));
            },
            close: () => undefined,
        };
        const store = new PlatformStore(client as StoreClient, new EventLog({ write: () => undefined }));
        const role = { kind: "follow", waitMs: 0, isStandby: false, isFirst: true } as const;
        store.start(createStoreListener({ departureSince: () => makeRecord("left"), role: () => role }));
        await waitFor("the write of the lost record", () => failWrite !== undefined);
        store.publish("own", makeRecord("own"));
        await waitFor("the write of the own record", () => isOwnWritten);
        await new Promise(resolve => setTimeout(resolve, 20));
        const readsBefore = reads;
        failWrite!();
        await waitFor("a read after the write", () => reads > readsBefore);
        store.stop();
    });
});

describe("an outage of the store", () => {
    /** Number of reads of the configuration in a time of 2 s in which each one fails at once. */
    async function readsInOutage(role: StoreRole, hasConfig: boolean): Promise<number> {
        let reads = 0;
        const fail = (topic: string) => {
            if (topic === "keyed.op") reads++;
            return Promise.reject(new StoreError(503, "unavailable"));
        };
        const client: Pick<StoreClient, "readNewest" | "read" | "append" | "close"> = {
            readNewest: fail,
            read: fail,
            append: async () => undefined,
            close: () => undefined,
        };
        const store = new PlatformStore(client as StoreClient, new EventLog({ write: () => undefined }));
        store.start(createStoreListener({ role: () => role, hasConfig: () => hasConfig }));
        await new Promise(resolve => setTimeout(resolve, 2000));
        store.stop();
        return reads;
    }

    it("costs a node on standby, or one with a configuration that others follow, hardly any reads", async () => {
        const follow = { kind: "follow", waitMs: 1000, isStandby: false, isFirst: false } as const;
        const [follower, standby, rest, unconfigured] = await Promise.all([
            readsInOutage(follow, true),
            readsInOutage({ ...follow, isStandby: true }, true),
            readsInOutage({ kind: "rest" }, true),
            readsInOutage({ kind: "rest" }, false),
        ]);
        expect(standby).to.be.at.most(2);
        expect(rest).to.equal(1);
        expect(follower).to.be.greaterThan(standby);
        expect(unconfigured).to.be.greaterThan(standby);
    });
});
