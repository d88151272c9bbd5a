/** Guards against records of nodes that have left staying in the store for good, or being removed too early. */
import { expect } from "chai";
import { DepartedNodes } from "../../platform/departedNodes.ts";
import { StoreClient, StoreError } from "../../platform/storeClient.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import { Peers } from "../../src/mesh/peers.ts";
import type { NodeRecord } from "../../src/mesh/types.ts";
import { RouteCalls } from "../../src/policy/routeCalls.ts";
import { RouteDependencyMap } from "../../src/policy/routeDependencies.ts";
import { StandinStore } from "../support/standinStore.ts";

describe("records of departed nodes", () => {
    it("expire after the retention time unless the node has started again or the record was removed", () => {
        const nodes = new DepartedNodes();
        for (const key of ["a", "b", "c"]) nodes.onRecord(key, { hasLeft: true }, 0);
        nodes.onRecord("a", { startedAt: 2 }, 1000);
        nodes.onRecord("b", undefined, 1000);
        expect(nodes.findExpired(120_000)).to.equal(undefined);
        expect(nodes.findExpired(120_001)).to.equal("c");
        nodes.onRecord("c", undefined, 120_001);
        expect(nodes.findExpired(200_000)).to.equal(undefined);
    });

    it("are not removed if anything was appended since they were read", async () => {
        const store = new StandinStore();
        const client = new StoreClient({ host: "127.0.0.1", port: await store.start() });
        const removal = { key: "n", value: Buffer.alloc(0) };
        await client.append("keyed.t", { key: "n", value: Buffer.from("left") });
        const { nextOffset } = await client.readNewest("keyed.t");
        await client.append("keyed.t", { key: "n", value: Buffer.from("started again") });
        const err = await client.append("keyed.t", removal, nextOffset).catch((error: unknown) => error);
        expect(err).to.be.instanceOf(StoreError).with.property("status", 412);
        await client.append("keyed.t", removal, nextOffset + 1);
        expect((await client.readNewest("keyed.t")).records).to.deep.equal([]);
        client.close();
        store.stop();
    });
});

describe("a node that has stored that it left", () => {
    it("is forgotten, but not its target, which its next process asks for", () => {
        const peers = new Peers({
            name: "edge",
            dataCentre: "a",
            log: new EventLog({ write: () => undefined }),
            ownRecord: () => createRecord({ name: "edge" }),
            configVersion: () => 0,
            encodedConfig: () => undefined,
            onConfig: () => undefined,
            dependencies: new RouteDependencyMap(),
            routeCalls: new RouteCalls(),
            onCrashReport: () => undefined,
            crashState: () => undefined,
            onNodeCountChange: () => undefined,
        });
        const target = { id: "i", service: "shop", state: "gone", slots: 1, bornAt: 1 } as const;
        peers.onStoredRecord("shop-1", createRecord({ target }));
        expect(peers.directory.get("shop-1")).to.not.equal(undefined);
        peers.onStoredRecord("shop-1", createRecord({ target, hasLeft: true }));
        expect(peers.directory.get("shop-1")).to.equal(undefined);
        peers.onStoredRecord("shop-1", createRecord({ startedAt: 2 }));
        expect(peers.directory.get("shop-1")?.lastTarget).to.deep.equal(target);
        peers.onStoredRecord("shop-1", createRecord({ target, hasLeft: true }));
        expect(peers.directory.get("shop-1")).to.not.equal(undefined);
        peers.close();
    });
});

function createRecord(fields: Partial<NodeRecord> = {}): NodeRecord {
    return {
        name: "shop-1",
        // Nothing listens on this port.
        address: "127.0.0.1:1",
        dataCentre: "a",
        startedAt: 1,
        serial: 1,
        target: undefined,
        ...fields,
    };
}
