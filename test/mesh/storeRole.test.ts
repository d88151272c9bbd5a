/** Which nodes follow the store: few, enough of them under partial outages, and every node that is on its own. */
import { expect } from "chai";
import { ConfigSync, fromTransferForm, toTransferForm } from "../../src/mesh/configSync.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import { KnownNode } from "../../src/mesh/nodeDirectory.ts";
import { followerCountOf, storeRankOf, storeRoleOf } from "../../src/policy/storeRole.ts";
import type { StorePeer } from "../../src/policy/storeRole.ts";
import { waitFor, wireConfig, wireRoute } from "../support/platformMesh.ts";

interface Peer extends StorePeer {
    isConnected: boolean;
    canReadStore: boolean;
}

function makePeers(count: number): Peer[] {
    return Array.from({ length: count }, (_, index) => ({
        rank: storeRankOf(`node-${index}`),
        isConnected: true,
        isSelf: false,
        canReadStore: true,
    }));
}

const followersOf = (peers: readonly Peer[]) =>
    peers.filter(peer => storeRoleOf(peer.rank, peers.filter(other => other !== peer)).kind === "follow");

describe("role towards the store", () => {
    it("is to follow for a number of nodes that hardly grows with the size of the mesh", () => {
        for (const [nodeCount, followers] of [[17, 17], [77, 24], [195, 24], [950, 31]] as const) {
            expect(followersOf(makePeers(nodeCount)), `${nodeCount} nodes`).to.have.length(followers);
        }
        expect(followerCountOf(950)).to.equal(31);
    });

    it("passes to other nodes when followers cannot read the store or are not connected", () => {
        const peers = makePeers(195);
        const first = followersOf(peers);
        for (const peer of first.slice(0, 12)) peer.canReadStore = false;
        for (const peer of first.slice(12)) peer.isConnected = false;
        const now = followersOf(peers).filter(peer => peer.canReadStore && peer.isConnected);
        expect(now).to.have.length(24);
        expect(now.filter(peer => first.includes(peer))).to.deep.equal([]);
        const isStandby = (peer: Peer) => {
            const role = storeRoleOf(peer.rank, peers.filter(other => other !== peer));
            return role.kind === "follow" && role.isStandby;
        };
        expect(now.filter(isStandby).length).to.be.greaterThan(0);
        expect(first.filter(isStandby)).to.deep.equal([]);
    });

    it("is to follow for a node without connections", () => {
        const peers = makePeers(195);
        for (const peer of peers) peer.isConnected = false;
        expect(followersOf(peers)).to.have.length(195);
    });
});

describe("configurations from other nodes", () => {
    function makeNode(name: string, dataCentre: string): KnownNode {
        const record = {
            name,
            address: "127.0.0.1:1",
            dataCentre,
            startedAt: 1,
            serial: 0,
            target: undefined,
        };
        const node = new KnownNode(record, false, dataCentre === "a");
        node.isConnected = true;
        return node;
    }

    it("are compressed for the transfer, and restored byte by byte", () => {
        const routes = Array.from({ length: 500 }, (_, index) => wireRoute({ path_prefix: `/p${index}/` }));
        const encoded = Buffer.from(JSON.stringify(wireConfig(3, routes)));
        const text = toTransferForm(encoded);
        expect(text.length).to.be.lessThan(encoded.length / 5);
        expect(fromTransferForm(text).equals(encoded)).to.equal(true);
    });

    it("come from a node of the local data centre, and from another one if it does not deliver", async () => {
        const nodes = [makeNode("remote", "b"), makeNode("local-1", "a"), makeNode("local-2", "a")];
        const asked: string[] = [];
        let version = 1;
        const sync = new ConfigSync({
            log: new EventLog({ write: () => undefined }),
            configVersion: () => version,
            storeRole: () => ({ kind: "rest" }),
            nodes: () => nodes,
            request: node => {
                asked.push(node.record.name);
                return node.isInLocalDataCentre
                    ? Promise.reject(new Error("lost"))
                    : Promise.resolve(toTransferForm(Buffer.from("config")));
            },
            onConfig: () => version = 7,
        });
        for (const node of nodes) sync.onPeerVersion(node, 7);
        await waitFor("the configuration", () => version === 7);
        expect(asked.slice(0, 2).sort()).to.deep.equal(["local-1", "local-2"]);
        expect(asked.slice(2)).to.deep.equal(["remote"]);
    });
});
