/**
 * A store that goes back to an older copy of its records and assigns offsets again. Guards against records that a reader
 * skips, against lost records of nodes, and against what had left or been withdrawn coming back.
 */
import { expect } from "chai";
import { PlatformStore } from "../../platform/platformStore.ts";
import { StoreClient, StoreError } from "../../platform/storeClient.ts";
import { TopicReader } from "../../platform/topicReader.ts";
import type { ControlStoreListener } from "../../src/mesh/controlStore.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import type { NodeRecord } from "../../src/mesh/types.ts";
import { PlatformMesh, waitFor, wireConfig } from "../support/platformMesh.ts";
import type { MeshHost } from "../support/platformMesh.ts";
import { configRecord, StandinStore } from "../support/standinStore.ts";
import { createStoreListener } from "../support/storeListener.ts";

const NODES_TOPIC = "keyed.filbertspool-nodes";
const TOPIC = "keyed.t";
/** Time in which the nodes notice a new era, longer than the wait of a watcher and the spread of the others. */
const NOTICE_MS = 3000;

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const entry = (key: string, value: string) => ({ key, value: Buffer.from(value) });

describe("reading a store that goes back", () => {
    let store: StandinStore;
    let client: StoreClient;
    let reader: TopicReader;

    beforeEach(async () => {
        store = new StandinStore();
        client = new StoreClient({ host: "127.0.0.1", port: await store.start() });
        reader = new TopicReader(client, TOPIC);
        for (const value of ["1", "2", "3"]) store.append(TOPIC, entry("a", value));
    });

    afterEach(() => {
        client.close();
        store.stop();
    });

    const readValues = async (waitMs = 0) =>
        (await reader.read(waitMs)).records.map(({ key, value }) => `${key}${value.toString()}`);

    it("returns the records whose offsets were assigned again below the end that was read", async () => {
        expect(await readValues()).to.deep.equal(["a3"]);
        store.rollBack(TOPIC, 2);
        for (const value of ["4", "5", "6"]) store.append(TOPIC, entry(`b${value}`, value));
        expect(await readValues()).to.deep.equal(["a1", "b44", "b55", "b66"]);
    });

    it("starts over while a read waits at an offset that is assigned again", async () => {
        await readValues();
        const read = readValues(300);
        await pause(50);
        store.rollBack(TOPIC, 1, entry("b", "4"), entry("c", "5"));
        expect(await read).to.deep.equal(["a2", "b4", "c5"]);
    });

    it("starts over with the first page if the era changes between two pages", async () => {
        store.append(TOPIC, entry("b", "1"));
        store.newestPageSize = 1;
        store.onNewestPage = () => {
            store.onNewestPage = () => undefined;
            store.rollBack(TOPIC, 2);
            store.append(TOPIC, entry("b", "2"));
        };
        expect(await readValues()).to.deep.equal(["a2", "b2"]);
    });

    // Guards against a reader that reads all records again and again, since it never learns the era of its offset.
    it("reads on by offset after a response without an era", async () => {
        await readValues();
        store.era = 2;
        await client.readNewest("keyed.other");
        store.era = undefined;
        expect(await readValues()).to.deep.equal(["a3"]);
        expect(reader.endOffset).to.equal(3);
        expect(await readValues()).to.deep.equal([]);
    });

    it("knows no offset on which a removal may depend until it has read in the new era", async () => {
        await readValues();
        expect(reader.endOffset).to.equal(3);
        store.rollBack(TOPIC, 1);
        await client.readNewest("keyed.other");
        expect(reader.endOffset).to.equal(undefined);
        expect((await reader.read(0)).mayBeOlder).to.equal(true);
        expect(reader.endOffset).to.equal(2);
    });

    it("discards a response that one of a new era has overtaken", async () => {
        await readValues();
        const eras: number[] = [];
        client.onNewEra = era => eras.push(era);
        const late = client.read(TOPIC, 3, 300).catch((err: unknown) => err);
        await pause(50);
        store.era = 2;
        await client.readNewest(TOPIC);
        store.era = 1;
        expect(await late).to.be.instanceOf(StoreError).with.property("message").that.includes("earlier era");
        store.era = 2;
        await client.readNewest(TOPIC);
        expect(eras).to.deep.equal([2]);
    });

    it("goes on as before if the store states no era, at all or in some responses", async () => {
        const eras: number[] = [];
        client.onNewEra = era => eras.push(era);
        await readValues();
        store.era = undefined;
        store.append(TOPIC, entry("b", "1"));
        expect(await readValues()).to.deep.equal(["b1"]);
        store.era = 1;
        expect(await readValues()).to.deep.equal([]);
        expect(eras).to.deep.equal([]);
    });
});

describe("the record of a node that does not follow the store", () => {
    async function createStore(overrides: Partial<ControlStoreListener> = {}) {
        const store = new StandinStore();
        const client = new StoreClient({ host: "127.0.0.1", port: await store.start() });
        const node = new PlatformStore(client, new EventLog({ write: () => undefined }));
        let hasReadRecord = false;
        node.start(createStoreListener({
            ...overrides,
            onNode: (...args) => {
                hasReadRecord ||= args[0] === "n";
                overrides.onNode?.(...args);
            },
        }));
        const publish = (serial: number) => node.publish("n", { name: "n", serial } as NodeRecord);
        const storedSerial = () => {
            const value = store.newest(NODES_TOPIC).get("n");
            return value === undefined ? undefined : (JSON.parse(value.toString()) as NodeRecord).serial;
        };
        publish(1);
        // The read that follows the write would show the node an era that begins before it.
        await waitFor("the record, stored and read again", () => storedSerial() === 1 && hasReadRecord);
        const stop = () => {
            node.stop();
            store.stop();
        };
        return { store, client, node, publish, storedSerial, stop };
    }

    it("is written again once another node reports the era, and once only", async () => {
        const { store, client, node, storedSerial, stop } = await createStore();
        store.rollBack(NODES_TOPIC, 1);
        await pause(200);
        expect(storedSerial()).to.equal(undefined);
        for (let report = 0; report < 10; report++) node.onReportedEra(2);
        await waitFor("the record again", () => storedSerial() === 1);
        await pause(200);
        const { requestCount } = store;
        node.onReportedEra(2);
        await pause(1200);
        expect(client.era).to.equal(2);
        expect(store.requestCount).to.equal(requestCount);
        expect(store.lengthOf(NODES_TOPIC)).to.equal(1);
        stop();
    });

    it("is written again if the store went back between its write and the acknowledgement", async () => {
        const { store, node, publish, storedSerial, stop } = await createStore();
        const lost = new Promise<void>(resolve => {
            store.onAppend = () => {
                store.onAppend = () => undefined;
                store.rollBack(NODES_TOPIC, 1);
                resolve();
            };
        });
        publish(2);
        await lost;
        await pause(100);
        expect(storedSerial()).to.equal(1);
        node.onReportedEra(2);
        await waitFor("the record again", () => storedSerial() === 2);
        stop();
    });

    it("is removed again if its removal was lost", async () => {
        const { store, node, storedSerial, stop } = await createStore();
        node.publish("n", undefined);
        await waitFor("the removal", () => storedSerial() === undefined);
        store.rollBack(NODES_TOPIC, 1);
        expect(storedSerial()).to.equal(1);
        node.onReportedEra(2);
        await waitFor("the removal again", () => storedSerial() === undefined);
        stop();
    });
});

describe("a mesh whose store goes back", () => {
    let mesh: PlatformMesh;
    let edge: MeshHost;
    let shop1: MeshHost;

    beforeEach(async () => {
        mesh = new PlatformMesh();
        await mesh.start([{ name: "edge", service: "stock" }, { name: "shop-1", service: "shop" }]);
        [edge, shop1] = mesh.hosts as [MeshHost, MeshHost];
        await waitFor(
            "the records",
            () => storedNode("edge") !== undefined && storedNode("shop-1") !== undefined,
        );
    });

    afterEach(() => mesh.stop());

    const storedNode = (name: string): NodeRecord | undefined => {
        const value = mesh.store.newest(NODES_TOPIC).get(name);
        return value === undefined ? undefined : JSON.parse(value.toString()) as NodeRecord;
    };
    const storedState = () => storedNode("shop-1")?.target?.state;
    const isUsableTarget = () => edge.node.meshNode.directory.get("shop-1")?.isUsable === true;
    const knowsShop = () => edge.node.meshNode.directory.get("shop-1") !== undefined;

    it("gets back all records of running nodes, and says so in the log and the metrics", async () => {
        mesh.store.rollBack(NODES_TOPIC, mesh.store.lengthOf(NODES_TOPIC));
        await waitFor("both records", () => storedNode("edge") !== undefined && storedState() === "ready");
        expect(edge.log.filter(line => line.includes("\"store-era\""))).to.have.length(1);
        const { host, port } = edge.settings.metrics;
        const metrics = await (await fetch(`http://${host}:${port}/metrics`)).text();
        expect(metrics).to.include("filbertspool_store_era 2");
    });

    for (const state of ["draining", "gone"] as const) {
        it(`keeps a target out of use whose announcement that it is ${state} was lost`, async () => {
            if (state === "draining") await shop1.app.heartbeat("draining");
            else await shop1.app.deregister();
            await waitFor("the announcement in the store", () => storedState() === state);
            mesh.store.rollBack(NODES_TOPIC, 1);
            expect(storedState()).to.equal("ready");
            await waitFor("the announcement again", () => storedState() === state);
            expect(isUsableTarget()).to.equal(false);
        });
    }

    it("gets back the record of a node that is stopping because its target has left", async () => {
        await shop1.app.deregister();
        await waitFor("the deregistration in the store", () => storedState() === "gone");
        const length = mesh.store.lengthOf(NODES_TOPIC);
        const stop = shop1.node.stop();
        await waitFor("the departure", () => storedNode("shop-1")?.hasLeft === true);
        mesh.store.rollBack(NODES_TOPIC, mesh.store.lengthOf(NODES_TOPIC) - length + 1);
        await waitFor("the departure again", () => storedNode("shop-1")?.hasLeft === true);
        await stop;
    });

    it("keeps a node gone that has left, and stores so for it, since its next process asks the store", async () => {
        await shop1.app.deregister();
        await shop1.node.stop();
        await waitFor("removed", () => !knowsShop());
        mesh.store.rollBack(NODES_TOPIC, 2);
        expect(storedState()).to.equal("ready");
        await waitFor("the departure again", () => storedNode("shop-1")?.hasLeft === true);
        expect(knowsShop()).to.equal(false);
        const { node } = await mesh.startNode(shop1.settings);
        await waitFor("connected", () => edge.node.meshNode.directory.get("shop-1")?.isConnected === true);
        await shop1.app.heartbeat("ready");
        await pause(500);
        expect(isUsableTarget()).to.equal(false);
        node.close();
    });

    it("does not go back with the record of an earlier process of a node that it cannot reach", async () => {
        const stored = storedNode("shop-1")!;
        const earlier = { ...stored, startedAt: stored.startedAt - 1000 };
        await shop1.app.deregister();
        await waitFor("the deregistration in the store", () => storedState() === "gone");
        shop1.node.close();
        await waitFor(
            "disconnected",
            () => edge.node.meshNode.directory.get("shop-1")?.isConnected === false,
        );
        mesh.store.rollBack(NODES_TOPIC, mesh.store.lengthOf(NODES_TOPIC));
        mesh.store.append(NODES_TOPIC, entry("shop-1", JSON.stringify(earlier)));
        await waitFor("the record of the other node", () => storedNode("edge") !== undefined);
        await pause(200);
        const { record } = edge.node.meshNode.directory.get("shop-1")!;
        expect(record.target?.state).to.equal("gone");
    });

    it("keeps the configuration in force and applies the next one, also at a node that starts", async () => {
        mesh.store.putConfig(wireConfig(2));
        mesh.store.putConfig(wireConfig(3));
        const versions = () => mesh.hosts.map(({ node }) => node.meshNode.configVersion);
        await waitFor("version 3", () => versions().every(version => version === 3));
        mesh.store.rollBack("keyed.op", 3);
        await pause(NOTICE_MS);
        const shop2 = await mesh.addHost({ name: "shop-2", service: "shop" });
        await waitFor("version 3 from another node", () => shop2.node.meshNode.configVersion === 3);
        // Three records again, so that the offset behind the last one is the one that was read before.
        for (const version of [2, 3, 4]) mesh.store.putConfig(wireConfig(version));
        await waitFor("version 4", () => versions().every(version => version === 4));
        mesh.store.rollBack("keyed.op", 2, ...[5, 6].map(version => configRecord(wireConfig(version))));
        await waitFor("version 6", () => versions().every(version => version === 6));
        for (const { log } of mesh.hosts) {
            const applied = log.map(line => JSON.parse(line) as { event?: string; version?: number; })
                .filter(({ event }) => event === "config").map(({ version }) => version!);
            expect(applied).to.deep.equal([...applied].sort((one, other) => one - other));
            expect(applied).to.include.members([3, 4, 6]);
        }
    });
});
