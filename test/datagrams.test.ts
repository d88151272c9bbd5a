/** Tests the encoding, signatures and validation of messages between nodes. */
import { expect } from "chai";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { DATAGRAM_LIMIT_BYTES, DatagramSocket, decodeDatagram, encodeDatagram } from "../src/datagrams.ts";
import type { DatagramFailure } from "../src/datagrams.ts";
import { PeerAuth, runSignatureParts } from "../src/peerAuth.ts";
import type { PeerDatagram } from "../src/peerMessages.ts";
import type { Address } from "../src/types.ts";
import { freePort } from "./support/processes.ts";

const KEY = "0123456789abcdef";
const MINUTE_MS = 60_000;

function createAddress(port = 7_000): Address {
    return { host: "127.0.0.1", port };
}

function createPing(): PeerDatagram {
    const sender = { id: "n1", service: "booking", address: createAddress(), dataCentre: "a" };
    return { type: "swim.ping", sender, seq: 1, summary: { configNumber: 1, logOffset: 4 }, updates: [] };
}

describe("messages between nodes", () => {
    const to = createAddress();
    const sender = new PeerAuth(KEY, () => MINUTE_MS);

    function failureOf(
        text: string,
        opts: { self?: Address; now?: number; } = {},
    ): DatagramFailure | undefined {
        const auth = new PeerAuth(KEY, () => opts.now ?? MINUTE_MS);
        const decoded = decodeDatagram(Buffer.from(text), opts.self ?? to, auth);
        return decoded.success ? undefined : decoded.reason;
    }

    it("are unchanged by encoding and decoding, with and without a key", () => {
        for (const auth of [sender, new PeerAuth(undefined)]) {
            const decoded = decodeDatagram(Buffer.from(encodeDatagram(createPing(), to, auth)), to, auth);
            expect(decoded).to.deep.equal({ success: true, value: createPing() });
        }
    });

    it("are rejected when unsigned, modified, signed with another key, for another node, or expired", () => {
        const text = encodeDatagram(createPing(), to, sender);
        const other = new PeerAuth("another key of 16", () => MINUTE_MS);
        expect(failureOf(text)).to.equal(undefined);
        expect(failureOf(encodeDatagram(createPing(), to, new PeerAuth(undefined)))).to.equal("unsigned");
        expect(failureOf(text.replace("\"logOffset\":4", "\"logOffset\":5"))).to.equal("forged");
        expect(failureOf(text.replace(/^\d+/, "60001"))).to.equal("forged");
        expect(failureOf(encodeDatagram(createPing(), to, other))).to.equal("forged");
        expect(failureOf(text, { self: createAddress(7_001) })).to.equal("forged");
        expect(failureOf(text, { now: 2 * MINUTE_MS })).to.equal(undefined);
        expect(failureOf(text, { now: 2 * MINUTE_MS + 1 })).to.equal("expired");
    });

    it("are rejected when oversized, not JSON, not a notification, or not valid by the schema", () => {
        const auth = new PeerAuth(undefined);
        const reasonOf = (text: string) => {
            const decoded = decodeDatagram(Buffer.from(text), to, auth);
            return decoded.success ? undefined : decoded.reason;
        };
        const { type: method, ...params } = createPing();
        const notification = { jsonrpc: "2.0", method, params };
        expect(reasonOf(JSON.stringify(notification))).to.equal(undefined);
        expect(reasonOf("x".repeat(DATAGRAM_LIMIT_BYTES + 1))).to.equal("oversized");
        expect(reasonOf("{")).to.equal("json");
        expect(reasonOf(JSON.stringify({ ...notification, id: 1 }))).to.equal("malformed");
        expect(reasonOf(JSON.stringify({ ...notification, method: "swim.pong" }))).to.equal("malformed");
        expect(reasonOf(JSON.stringify({ ...notification, params: { ...params, seq: -1 } })))
            .to.equal("malformed");
        expect(reasonOf(JSON.stringify({ ...notification, params: undefined }))).to.equal("malformed");
    });

    // If the signature did not cover one of these, a captured run could be replayed as a different request.
    it("have a signature over the method, path, body and context of a run", () => {
        const req = { method: "POST", path: "/seats", headers: {}, body: Buffer.from("seat=1") };
        const signature = sender.sign(runSignatureParts(to, "{}", req));
        const check = (parts: readonly string[]) => sender.verify(signature, parts);
        expect(check(runSignatureParts(to, "{}", req))).to.equal(undefined);
        expect(check(runSignatureParts(to, "{ }", req))).to.equal("forged");
        expect(check(runSignatureParts(to, "{}", { ...req, method: "PUT" }))).to.equal("forged");
        expect(check(runSignatureParts(to, "{}", { ...req, path: "/seat" }))).to.equal("forged");
        expect(check(runSignatureParts(to, "{}", { ...req, body: Buffer.from("seat=2") }))).to.equal(
            "forged",
        );
    });

    it("are sent over UDP, with invalid datagrams reported and bytes counted", async () => {
        const [a, b] = [createAddress(await freePort()), createAddress(await freePort())];
        const bytes = { sent: 0, received: 0 };
        const bad: string[] = [];
        const ignoreAll = {
            onFailure: () => undefined,
            onBytes: () => undefined,
            onDatagram: () => undefined,
        };
        const from = new DatagramSocket({
            ...ignoreAll,
            self: a,
            auth: sender,
            onBytes: (direction, n) => void (bytes[direction] += n),
        });
        await from.listen();
        const received = new Promise<PeerDatagram>((resolve, reject) => {
            const receiver = new DatagramSocket({
                self: b,
                auth: new PeerAuth(KEY, () => MINUTE_MS),
                onFailure: reason => bad.push(reason),
                onBytes: (direction, n) => void (bytes[direction] += n),
                onDatagram: (_from, datagram) => {
                    receiver.close();
                    resolve(datagram);
                },
            });
            receiver.listen().then(async () => {
                const unsignedSender = createSocket("udp4");
                unsignedSender.send("junk", b.port, b.host);
                await once(unsignedSender, "listening");
                for (let polls = 0; bad.length === 0 && polls < 100; polls++) {
                    await new Promise(done => setTimeout(done, 10));
                }
                unsignedSender.close();
                from.send(b, createPing());
            }).catch(reject);
        });
        expect(await received).to.deep.equal(createPing());
        from.close();
        expect(bad).to.deep.equal(["unsigned"]);
        expect(bytes.sent).to.be.greaterThan(0);
        expect(bytes.received).to.equal(bytes.sent + "junk".length);
    });
});
