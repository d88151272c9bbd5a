/** Sends bodies and headers through two nodes. The test process is both targets, and calls as the first one. */
import { expect } from "chai";
import { once } from "node:events";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { request } from "undici";
import type { TestNode } from "./support/deployment.ts";
import { Deployment, waitUntilReady } from "./support/deployment.ts";
import { fetchText } from "./support/processes.ts";

const MIB = 1024 * 1024;

async function failureOf(promise: Promise<unknown>): Promise<unknown> {
    return promise.then(() => undefined, (err: unknown) => err);
}

describe("bodies and headers over two nodes", () => {
    const deployment = new Deployment();
    let calendar: TestNode;
    let booking: TestNode;
    let handle: (...args: Parameters<RequestListener>) => void | Promise<void> = () => undefined;

    before(async () => {
        await deployment.start();
        booking = await deployment.addNode("booking", (req, res) => void handle(req, res));
        calendar = await deployment.addNode("calendar", (_req, res) => res.end());
        await waitUntilReady(booking, calendar);
    });
    after(() => deployment.stop());

    function bookingUrl(path: string): string {
        return `${calendar.egress}/booking${path}`;
    }

    function nextRequest(): Promise<[IncomingMessage, ServerResponse]> {
        return new Promise(resolve => handle = (req, res) => resolve([req, res]));
    }

    // Without backpressure, a node would buffer the whole response of a fast target for a slow caller.
    it("stops reading a response that the caller does not read, and delivers it completely later", async () => {
        const chunk = Buffer.alloc(MIB, "x");
        const total = 256;
        let sent = 0;
        handle = async (_req, res) => {
            for (; sent < total; sent++) {
                if (!res.write(chunk)) await once(res, "drain");
            }
            res.end();
        };
        const response = await request(bookingUrl("/footage"));
        for (let sentBefore = -1; sentBefore !== sent;) {
            sentBefore = sent;
            await new Promise(resolve => setTimeout(resolve, 500));
        }
        expect(sent).to.be.lessThan(64);
        let received = 0;
        for await (const part of response.body) received += (part as Buffer).length;
        expect(received).to.equal(total * MIB);
    });

    for (const [framing, headers] of [["a length", { "content-length": "1000" }], ["chunks", {}]] as const) {
        it(`closes the caller's connection when the target truncates a response with ${framing}`, async () => {
            handle = (_req, res) => {
                res.writeHead(200, headers);
                res.write("x".repeat(500), () => res.destroy());
            };
            const response = await request(bookingUrl("/footage"));
            expect(await failureOf(response.body.text())).to.be.instanceOf(Error);
        });
    }

    // The end of such a response looks the same as a crash of the target, so the response may be truncated.
    it("fails a response that is delimited by the end of its connection", async () => {
        handle = req => void req.socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf a response");
        const { status, text } = await fetchText(bookingUrl("/footage"));
        expect(status).to.equal(502);
        expect(JSON.parse(text)).to.include({ outcome: "unknown", reason: "truncated" });
    });

    // A target in trouble may send a status line with a number that is no HTTP status (000 was seen elsewhere).
    for (const status of ["000", "099", "600", "999"]) {
        it(`fails a response with the status ${status} instead of forwarding it`, async () => {
            handle = req => void req.socket.write(`HTTP/1.1 ${status} Odd\r\ncontent-length: 2\r\n\r\nno`);
            const { status: received, text } = await fetchText(bookingUrl("/footage"));
            expect(received).to.equal(502);
            expect(JSON.parse(text)).to.include({ outcome: "unknown" });
            handle = (_req, res) => void res.end("next");
            expect((await fetchText(bookingUrl("/footage"))).text).to.equal("next");
        });
    }

    for (const size of [MIB, 3 * MIB + 1]) {
        it(`forwards a request body of ${size} bytes completely`, async () => {
            handle = async (req, res) => {
                let received = 0;
                for await (const part of req) received += (part as Buffer).length;
                res.end(String(received));
            };
            const { text } = await fetchText(bookingUrl("/seats"), {
                method: "POST",
                body: Buffer.alloc(size),
            });
            expect(text).to.equal(String(size));
        });
    }

    // Otherwise an overloaded target would go on working for callers that have disconnected.
    it("cancels the request at the target when the caller disconnects", async () => {
        const arrived = nextRequest();
        const abort = new AbortController();
        const failed = failureOf(request(bookingUrl("/slow"), { signal: abort.signal }));
        const [, res] = await arrived;
        const closed = once(res, "close");
        abort.abort();
        await closed;
        expect(await failed).to.be.instanceOf(Error);
    });

    it("responds with 504 at the deadline and cancels the request at the target", async () => {
        const arrived = nextRequest();
        const response = fetchText(bookingUrl("/slow"), { headers: { baggage: "fp.kind=brief" } });
        const [, res] = await arrived;
        const closed = once(res, "close");
        expect((await response).status).to.equal(504);
        await closed;
    });

    // Otherwise a target could report "not run" for a request that it ran.
    it("neither forwards nor evaluates fp- headers of a target's response", async () => {
        handle = (_req, res) => {
            res.writeHead(200, {
                "fp-outcome": "not-run",
                "fp-reason": "draining",
                "fp-retries-left": "9",
                "connection": "x-private",
                "x-private": "1",
            }).end("ran");
        };
        const response = await request(bookingUrl("/seats"));
        expect(await response.body.text()).to.equal("ran");
        expect(response.statusCode).to.equal(200);
        expect(Object.keys(response.headers).filter(name => name.startsWith("fp-"))).to.be.empty;
        expect(response.headers).not.to.have.property("x-private");
    });

    it("sends the target the deadline and the latest start time, but no fp- header of the caller", async () => {
        const arrived = nextRequest();
        const headers = { "baggage": "fp.kind=book", "idempotency-key": "b-1", "fp-call": "{}", "fp-x": "1" };
        const response = fetchText(bookingUrl("/seats"), { method: "POST", headers });
        const [req, res] = await arrived;
        res.end("booked");
        expect((await response).text).to.equal("booked");
        expect(Object.keys(req.headers).filter(name => name.startsWith("fp-")))
            .to.have.members(["fp-deadline-ms", "fp-start-before"]);
        expect(Number(req.headers["fp-deadline-ms"])).to.be.within(1, 20_000);
    });

    it("replays the recorded response of an idempotency key without a second run", async () => {
        let runs = 0;
        handle = (_req, res) => void res.end(`booked ${++runs}`);
        const headers = { "baggage": "fp.kind=book", "idempotency-key": "b-2" };
        const first = await fetchText(bookingUrl("/seats"), { method: "POST", headers });
        const second = await fetchText(bookingUrl("/seats"), { method: "POST", headers });
        expect([first.text, second.text]).to.deep.equal(["booked 1", "booked 1"]);
    });

    it("closes the caller's connection when the node of the target is killed", async () => {
        handle = (_req, res) => {
            res.writeHead(200, { "content-length": "1000" });
            res.write("x".repeat(500));
        };
        const response = await request(bookingUrl("/footage"));
        const failed = failureOf(response.body.text());
        booking.process.kill("SIGKILL");
        expect(await failed).to.be.instanceOf(Error);
    });
});
