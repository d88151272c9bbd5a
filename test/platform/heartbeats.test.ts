/** Heartbeats that the local target has not sent, or sent long ago. */
import { expect } from "chai";
import { PlatformMesh } from "../support/platformMesh.ts";

describe("heartbeats", () => {
    let mesh: PlatformMesh;

    beforeEach(async () => {
        mesh = new PlatformMesh();
        await mesh.start([
            { name: "edge", service: "stock" },
            { name: "shop-1", service: "shop" },
            { name: "shop-2", service: "shop" },
        ]);
    });

    afterEach(() => mesh.stop());

    it("are rejected if they are invalid, and ignored with another address or from an earlier start", async () => {
        const [edge, shop1] = mesh.hosts;
        const url = `http://127.0.0.1:${shop1!.settings.heartbeats.port}/instances/${shop1!.app.id}`;
        const sendHeartbeat = (fields: object) => {
            const body = {
                service: "shop",
                address: `127.0.0.1:${shop1!.settings.target.port}`,
                zone: "a",
                version: "v1",
                cold_remaining: "0ms",
                slots: 20,
                state: "draining",
                sequence: 0,
                born: 1,
                ...fields,
            };
            return fetch(url, { method: "PUT", body: JSON.stringify(body) });
        };
        expect((await sendHeartbeat({})).status).to.equal(200);
        expect((await sendHeartbeat({ sequence: "9", born: Date.now() })).status).to.equal(400);
        for (
            const odd of [{ cold_remaining: 0 }, { cold_remaining: "soon" }, { zone: undefined }, {
                version: 1,
            }]
        ) {
            expect((await sendHeartbeat({ ...odd, state: "ready", sequence: 1e9, born: Date.now() })).status)
                .to.equal(400);
        }
        expect((await sendHeartbeat({ service: "other", sequence: 9, born: Date.now() })).status).to.equal(
            400,
        );
        expect((await sendHeartbeat({ address: "127.0.0.1:1", sequence: 9, born: Date.now() })).status).to
            .equal(200);
        expect((await fetch(url, { method: "PUT", body: "{" })).status).to.equal(400);
        await mesh.waitForDiscovery();
        expect((await edge!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
    });
});
