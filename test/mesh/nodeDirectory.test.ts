/** After an address has moved to another host, a stale record of the old node must not replace the new node. */
import { expect } from "chai";
import { NodeDirectory } from "../../src/mesh/nodeDirectory.ts";
import type { NodeRecord } from "../../src/mesh/types.ts";

function makeRecord(name: string, startedAt: number, fields: Partial<NodeRecord> = {}): NodeRecord {
    const target = {
        id: `i-${name}`,
        service: `s-${name}`,
        state: "ready",
        slots: 4,
        bornAt: startedAt,
    } as const;
    return { name, address: "10.0.0.1:7000", dataCentre: "a", startedAt, serial: 1, target, ...fields };
}

function makeDirectory(): { directory: NodeDirectory; removed: string[]; } {
    const removed: string[] = [];
    const directory = new NodeDirectory({
        name: "self",
        dataCentre: "a",
        onAdded: () => undefined,
        onRemoved: node => removed.push(node.record.name),
    });
    directory.upsert(makeRecord("self", 1, { address: "10.0.0.9:7000" }));
    return { directory, removed };
}

describe("node directory with two records for one address", () => {
    it("removes a node when another one announces itself at its address", () => {
        const { directory, removed } = makeDirectory();
        directory.upsert(makeRecord("old", 100), "itself");
        directory.get("old")!.isConnected = true;
        // The start time is earlier because the clock of the new host is behind.
        expect(directory.upsert(makeRecord("new", 90), "itself")).to.equal(true);
        expect(removed).to.deep.equal(["old"]);
        expect(directory.nodesOfService("s-old")).to.deep.equal([]);
        expect(directory.nodesOfService("s-new").map(({ record }) => record.name)).to.deep.equal(["new"]);
    });

    it("rejects records from the store or other nodes for the address of a connected node", () => {
        const { directory, removed } = makeDirectory();
        directory.upsert(makeRecord("new", 200), "itself");
        directory.get("new")!.isConnected = true;
        expect(directory.upsert(makeRecord("old", 100), "store")).to.equal(false);
        expect(directory.upsert(makeRecord("old", 300), "others")).to.equal(false);
        expect(removed).to.deep.equal([]);
        expect(directory.get("old")).to.equal(undefined);
    });

    it("accepts a newer record for the address of a node that is not connected", () => {
        const { directory, removed } = makeDirectory();
        directory.upsert(makeRecord("old", 100), "store");
        expect(directory.upsert(makeRecord("new", 200), "store")).to.equal(true);
        expect(removed).to.deep.equal(["old"]);
    });

    it("rejects a record from the store that has the address of this node", () => {
        const { directory, removed } = makeDirectory();
        directory.get("self")!.isConnected = true;
        expect(directory.upsert(makeRecord("old", 0, { address: "10.0.0.9:7000" }), "store")).to.equal(false);
        expect(removed).to.deep.equal([]);
    });
});
