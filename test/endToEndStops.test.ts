/** Planned stops, kills and pauses of real node processes. */
import { expect } from "chai";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import type { RequestListener } from "node:http";
import { Pool, request } from "undici";
import { LEASE_DURATION_MS } from "../src/leaseTimes.ts";
import type { TestNode } from "./support/deployment.ts";
import { Deployment, waitUntilReady } from "./support/deployment.ts";
import { fetchText, waitForStatus } from "./support/processes.ts";

const MIB = 1024 * 1024;
const KEY_FLAGS = ["--peer-key", "0123456789abcdef"];

async function exitCodeOf(child: ChildProcess): Promise<number | null> {
    if (child.exitCode === null && child.signalCode === null) await once(child, "exit");
    return child.exitCode;
}

function delay(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

describe("stops of nodes", () => {
    let deployment: Deployment;
    let calendar: TestNode;
    let bookings: TestNode[];
    let handle: RequestListener;

    /** Calendar with two instances of booking, all with a peer key. */
    beforeEach(async () => {
        handle = (_req, res) => void res.end("ran");
        deployment = new Deployment();
        await deployment.start();
        bookings = [];
        for (let i = 0; i < 2; i++) {
            bookings.push(await deployment.addNode("booking", (req, res) => handle(req, res), KEY_FLAGS));
        }
        calendar = await deployment.addNode("calendar", (_req, res) => void res.end("calendar"), KEY_FLAGS);
        await waitUntilReady(calendar, ...bookings);
    });
    afterEach(() => deployment.stop());

    function bookingUrl(path: string): string {
        return `${calendar.egress}/booking${path}`;
    }

    // Guards against answers cut, connections closed under a request, and refusals that no other node took.
    it("cuts and refuses no request at a planned stop under load", async () => {
        handle = (_req, res) => void setTimeout(() => res.end("ran"), 5);
        const responses: string[] = [];
        let isLoading = true;
        const load = Array.from({ length: 8 }, async () => {
            while (isLoading) {
                const response = await fetchText(bookingUrl("/seats")).catch(err => ({
                    status: 0,
                    text: String(err),
                }));
                responses.push(`${response.status} ${response.text}`);
            }
        });
        while (responses.length < 100) await delay(10);
        bookings[0]!.process.kill("SIGTERM");
        expect(await exitCodeOf(bookings[0]!.process)).to.equal(0);
        const countAtExit = responses.length;
        while (responses.length < countAtExit + 100) await delay(10);
        isLoading = false;
        await Promise.all(load);
        expect(responses.filter(response => response !== "200 ran")).to.deep.equal([]);
    });

    // Guards against an exit that an idle connection holds up, and against one that drops unflushed bytes.
    it("delivers an answer in progress whole and then exits in spite of idle connections", async () => {
        const size = 64 * MIB;
        const node = bookings[0]!;
        handle = (_req, res) => void res.end(Buffer.alloc(size));
        const idle = new Pool(node.peer, { connections: 1, keepAliveTimeout: 600_000 });
        await (await idle.request({ path: "/healthz", method: "GET" })).body.dump();
        const response = await request(`${node.entry}/footage`);
        node.process.kill("SIGTERM");
        await waitForStatus(`${node.peer}/readyz`, 503);
        let received = 0;
        for await (const part of response.body) received += (part as Buffer).length;
        expect(received).to.equal(size);
        expect(await exitCodeOf(node.process)).to.equal(0);
        await idle.destroy();
    });

    it("ends at once with code 1 on a second signal", async () => {
        const node = bookings[0]!;
        const arrived = new Promise(resolve => handle = resolve);
        const response = fetchText(`${node.entry}/slow`).catch(() => "cut");
        await arrived;
        node.process.kill("SIGTERM");
        await waitForStatus(`${node.peer}/readyz`, 503);
        node.process.kill("SIGTERM");
        expect(await exitCodeOf(node.process)).to.equal(1);
        expect(await response).to.equal("cut");
    });

    // Guards against a connection failure that is taken for an unknown outcome.
    it("sends calls to the other instance when a node was killed", async () => {
        bookings[0]!.process.kill("SIGKILL");
        await exitCodeOf(bookings[0]!.process);
        for (let i = 0; i < 10; i++) {
            expect(await fetchText(bookingUrl("/seats"))).to.deep.equal({ status: 200, text: "ran" });
        }
    });

    // Guards against a holder that was paused beyond its proof and then runs what waited in its sockets.
    it("runs nothing of what a paused node received once its proof has lapsed", async () => {
        const keys: unknown[] = [];
        handle = (req, res) => {
            keys.push(req.headers["idempotency-key"]);
            res.end("booked");
        };
        const headers = { "baggage": "fp.kind=brief-book", "idempotency-key": "paused" };
        for (const node of bookings) node.process.kill("SIGSTOP");
        expect((await fetchText(bookingUrl("/seats"), { method: "POST", headers })).status).to.equal(504);
        await delay(LEASE_DURATION_MS);
        for (const node of bookings) node.process.kill("SIGCONT");
        await waitUntilReady(...bookings);
        const later = { "baggage": "fp.kind=book", "idempotency-key": "later" };
        await waitForStatus(bookingUrl("/seats"), 200, { method: "POST", headers: later });
        expect(keys).to.deep.equal(["later"]);
    });

    it("refuses unsigned runs and messages when a key is set", async () => {
        const ctx = { requestId: "1".repeat(32), kind: "browse", deadlineMs: 1_000, retries: 0, depth: 1 };
        const { peer } = bookings[0]!;
        const headers = { "fp-call": JSON.stringify({ ...ctx, sender: "stranger" }) };
        expect((await fetchText(`${peer}/run/seats`, { headers })).status).to.equal(403);
        const body = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "control.state", params: {} });
        expect((await fetchText(`${peer}/rpc`, { method: "POST", body })).status).to.equal(403);
        const { text } = await fetchText(`${peer}/metrics`);
        expect(text).to.include("filbertspool_bad_messages_total{reason=\"unsigned\"} 2");
    });
});
