/** Pipelined requests of one connection: they run at the same time, and each one is answered in its turn or not run. */
import { expect } from "chai";
import fc from "fast-check";
import net from "node:net";
import { WIRE_HEADERS } from "../../platform/wireHeaders.ts";
import { HttpServer } from "../../src/http/httpServer.ts";
import type { HttpServerOptions, SendResponse } from "../../src/http/httpServer.ts";
import { createHeadParsers } from "../../src/http/messageHead.ts";
import { steadyNow } from "../../src/mesh/clock.ts";
import { freeListenerPort } from "../support/freePorts.ts";
import { waitFor } from "../support/platformMesh.ts";

const { parseRequest } = createHeadParsers(WIRE_HEADERS);
const LIMITS = { maxHeadBytes: 4096, maxBodyBytes: 1 << 20, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 };

interface Accepted {
    readonly id: string;
    readonly respond: (body?: string) => void;
    hasDisconnected: boolean;
}

/** A server whose handler leaves requests open, and one client connection to it. */
class Harness {
    readonly accepted: Accepted[] = [];
    received = "";
    isClosing = false;
    hasEnded = false;
    private readonly server: HttpServer;
    private socket!: net.Socket;

    constructor(private readonly port: number, options: Partial<HttpServerOptions> = {}) {
        this.server = new HttpServer({
            host: "127.0.0.1",
            port,
            parseHead: parseRequest,
            limits: () => LIMITS,
            isClosing: () => this.isClosing,
            isPipelinable: head => head.path.startsWith("/safe/"),
            handler: ({ head }, sendResponse) => this.accept(head.requestId, sendResponse),
            ...options,
        });
    }

    async start(): Promise<this> {
        await this.server.listen();
        this.socket = net.connect(this.port, "127.0.0.1");
        this.socket.on("data", chunk => this.received += chunk.toString("latin1"));
        this.socket.on("end", () => this.hasEnded = true);
        this.socket.on("error", () => undefined);
        return this;
    }

    stop(): void {
        this.server.close();
        this.socket.destroy();
    }

    write(text: string): void {
        this.socket.write(text, "latin1");
    }

    pauseReading(): void {
        this.socket.pause();
    }

    resumeReading(): void {
        this.socket.resume();
    }

    disconnect(): void {
        this.socket.destroy();
    }

    get acceptedIds(): readonly string[] {
        return this.accepted.map(({ id }) => id);
    }

    /** Bodies of the received responses, or their status if it is not 200. */
    get responses(): readonly string[] {
        return this.received.split("HTTP/1.1 ").slice(1)
            .map(text =>
                text.startsWith("200") ? text.slice(text.indexOf("\r\n\r\n") + 4) : text.slice(0, 3)
            );
    }

    checkTimeouts(now: number): void {
        this.server.checkTimeouts(now);
    }

    private accept(id: string, sendResponse: SendResponse): () => void {
        const accepted: Accepted = {
            id,
            hasDisconnected: false,
            respond: (body = id) => sendResponse({ status: 200, headers: "", body: Buffer.from(body) }),
        };
        this.accepted.push(accepted);
        return () => accepted.hasDisconnected = true;
    }
}

function requestText(id: string, { path = "/safe/", headers = "" } = {}): string {
    return `GET ${path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\n${headers}\r\n`;
}

const ids = (count: number) => Array.from({ length: count }, (_, index) => `q${index}`);
const settle = () => new Promise(resolve => setTimeout(resolve, 50));

describe("pipelined requests", () => {
    let harness: Harness;

    const start = async (options?: Partial<HttpServerOptions>) => {
        harness = await new Harness(await freeListenerPort(), options).start();
        return harness;
    };

    afterEach(() => harness.stop());

    it("run at the same time, and their responses are sent in the order of the requests", async () => {
        const { accepted } = await start();
        harness.write(ids(4).map(id => requestText(id)).join(""));
        await waitFor("all accepted", () => accepted.length === 4);
        for (const index of [2, 3, 1]) accepted[index]!.respond();
        await settle();
        expect(harness.received).to.equal("");
        accepted[0]!.respond();
        await waitFor("all responses", () => harness.responses.length === 4);
        expect(harness.responses).to.deep.equal(ids(4));
    });

    it("are parsed and answered the same at any split of the bytes and any order of completion", async () => {
        const text = ids(5).map(id => requestText(id)).join("");
        await start();
        await fc.assert(
            fc.asyncProperty(
                fc.array(fc.nat(text.length), { maxLength: 6 }),
                fc.shuffledSubarray([0, 1, 2, 3, 4], { minLength: 5 }),
                async (cuts, order) => {
                    harness.accepted.length = 0;
                    harness.received = "";
                    let from = 0;
                    for (const cut of [...cuts].sort((a, b) => a - b)) {
                        harness.write(text.slice(from, cut));
                        from = cut;
                        await new Promise(resolve => setImmediate(resolve));
                    }
                    harness.write(text.slice(from));
                    await waitFor("all accepted", () => harness.accepted.length === 5);
                    for (const index of order) harness.accepted[index]!.respond();
                    await waitFor("all responses", () => harness.responses.length === 5);
                    expect(harness.responses).to.deep.equal(ids(5));
                },
            ),
            { numRuns: 60, seed: 7 },
        );
    });

    it("are all answered if 1,000 of them arrive in one write, at most 16 at a time", async () => {
        const { accepted } = await start();
        harness.write(ids(1000).map(id => requestText(id)).join(""));
        let done = 0;
        while (done < 1000) {
            await waitFor("the next accepted", () => accepted.length > done);
            expect(accepted.length - done).to.be.at.most(16);
            accepted[done++]!.respond();
        }
        await waitFor("all responses", () => harness.responses.length === 1000);
        expect(harness.responses).to.deep.equal(ids(1000));
    });

    it("do not start a non-idempotent request before all earlier responses have been sent", async () => {
        const { accepted } = await start();
        harness.write(requestText("q0") + requestText("q1", { path: "/unsafe/" }) + requestText("q2"));
        await waitFor("first accepted", () => accepted.length === 1);
        await settle();
        expect(harness.acceptedIds).to.deep.equal(["q0"]);
        accepted[0]!.respond();
        await waitFor("the others accepted", () => accepted.length === 3);
    });

    it("are not accepted behind a request that closes the connection", async () => {
        const { accepted } = await start();
        harness.write(requestText("q0", { headers: "Connection: close\r\n" }) + requestText("q1"));
        await waitFor("first accepted", () => accepted.length === 1);
        accepted[0]!.respond();
        await waitFor("the end of the connection", () => harness.hasEnded);
        harness.write(requestText("q2"));
        await settle();
        expect(harness.acceptedIds).to.deep.equal(["q0"]);
        expect(harness.received).to.match(/Connection: close/);
    });

    it("are all answered before a stopping server closes the connection", async () => {
        const { accepted } = await start();
        harness.write(ids(3).map(id => requestText(id)).join(""));
        await waitFor("all accepted", () => accepted.length === 3);
        harness.isClosing = true;
        harness.write(requestText("late"));
        accepted[0]!.respond();
        await settle();
        expect(harness.received).not.to.match(/Connection: close/);
        accepted[2]!.respond();
        accepted[1]!.respond();
        await waitFor("the end of the connection", () => harness.hasEnded);
        expect(harness.responses).to.deep.equal(ids(3));
        expect(harness.received.match(/Connection: close/g)).to.have.length(1);
        expect(harness.acceptedIds).to.deep.equal(ids(3));
    });

    it("are not accepted after the server has closed its side", async () => {
        const { accepted } = await start();
        harness.isClosing = true;
        harness.write(requestText("q0", { path: "/unsafe/" }));
        await waitFor("first accepted", () => accepted.length === 1);
        accepted[0]!.respond();
        harness.write(requestText("q1", { path: "/unsafe/" }));
        await settle();
        expect(harness.acceptedIds).to.deep.equal(["q0"]);
        expect(harness.responses).to.deep.equal(["q0"]);
        harness.checkTimeouts(steadyNow() + 2000);
        await waitFor("the end of the connection", () => harness.hasEnded);
    });

    it("are all cancelled when their client disconnects", async () => {
        const { accepted } = await start();
        harness.write(ids(3).map(id => requestText(id)).join("") + requestText("u", { path: "/unsafe/" }));
        await waitFor("all accepted", () => accepted.length === 3);
        accepted[1]!.respond();
        harness.disconnect();
        await waitFor("cancelled", () => accepted[2]!.hasDisconnected);
        expect(accepted.map(({ hasDisconnected }) => hasDisconnected)).to.deep.equal([true, false, true]);
        expect(harness.acceptedIds).to.deep.equal(ids(3));
    });

    it("are answered before a malformed request behind them gets its error", async () => {
        const { accepted } = await start();
        harness.write(`${requestText("q0") + requestText("q1")}GET / HTTP/9.9\r\n\r\n`);
        await waitFor("both accepted", () => accepted.length === 2);
        accepted[1]!.respond();
        await settle();
        expect(harness.received).to.equal("");
        accepted[0]!.respond();
        await waitFor("the end of the connection", () => harness.hasEnded);
        expect(harness.responses).to.deep.equal(["q0", "q1", "400"]);
    });

    it("are not accepted while their responses exceed the bound on held bytes", async () => {
        const { accepted } = await start();
        harness.write(ids(10).map(id => requestText(id)).join(""));
        await waitFor("all accepted", () => accepted.length === 10);
        for (const { respond } of accepted.slice(1)) respond("x".repeat(40_000));
        harness.write(requestText("q10"));
        await settle();
        expect(accepted).to.have.length(10);
        accepted[0]!.respond();
        await waitFor("the last accepted", () => accepted.length === 11);
    });

    it("are not accepted while their client does not read", async () => {
        const { accepted } = await start();
        harness.pauseReading();
        const isBlocked = async () => {
            const { length } = accepted;
            harness.write(requestText(`q${length}`));
            await settle();
            accepted.at(-1)!.respond("x".repeat(2_000_000));
            return accepted.length === length;
        };
        let count = 0;
        while (!await isBlocked() && count < 50) count++;
        harness.write(requestText("last"));
        await settle();
        const { length } = accepted;
        harness.resumeReading();
        await waitFor("the waiting ones accepted", () => accepted.length > length || count < 50);
        expect(count).to.be.lessThan(50);
    });

    it("get an error response if the handler throws, and the server keeps running", async () => {
        const errors: unknown[] = [];
        await start({
            handler: ({ head }, sendResponse) => {
                if (head.requestId === "q0") throw new Error("broken handler");
                sendResponse({ status: 200, headers: "", body: Buffer.from(head.requestId) });
                return undefined;
            },
            onHandlerError: err => errors.push(err),
        });
        harness.write(requestText("q0") + requestText("q1"));
        await waitFor("both responses", () => harness.responses.length === 2);
        expect(harness.responses).to.deep.equal(["500", "q1"]);
        expect(errors).to.have.length(1);
    });
});
