/** Drains, kills and pauses node processes. */
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

    /** Starts one node of calendar and two of booking, all with a peer key. */
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

    // Guards against truncated responses, connections closed during a request, and refusals without a retry.
    it("fails no request when a node drains under load", async () => {
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

    // Guards against an exit that waits for idle connections, and against one that discards unflushed bytes.
    it("completes a response in progress and then exits in spite of idle connections", async () => {
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

    it("exits immediately with code 1 on a second signal", async () => {
        const node = bookings[0]!;
        const arrived = new Promise(resolve => handle = resolve);
        const response = fetchText(`${node.entry}/slow`).catch(() => "aborted");
        await arrived;
        node.process.kill("SIGTERM");
        await waitForStatus(`${node.peer}/readyz`, 503);
        node.process.kill("SIGTERM");
        expect(await exitCodeOf(node.process)).to.equal(1);
        expect(await response).to.equal("aborted");
    });

    // Guards against a failure to connect being treated as an unknown outcome, which would not be retried.
    it("sends calls to the other instance after a node was killed", async () => {
        bookings[0]!.process.kill("SIGKILL");
        await exitCodeOf(bookings[0]!.process);
        for (let i = 0; i < 10; i++) {
            expect(await fetchText(bookingUrl("/seats"))).to.deep.equal({ status: 200, text: "ran" });
        }
    });

    // Guards against a node that is paused until its lease has expired, and then runs the requests that wait in
    // its socket buffers.
    it("does not run requests that a node received while it was paused, once its lease has expired", async () => {
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

    it("rejects unsigned runs and messages when a peer key is set", async () => {
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
