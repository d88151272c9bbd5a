/** Frames between nodes: decoding returns what was encoded, however the connection splits the bytes. */
import { expect } from "chai";
import fc from "fast-check";
import { piecesOf } from "../../src/http/body.ts";
import { FrameReader } from "../../src/mesh/frameReader.ts";
import { encodeRequest, encodeResponse, encodeRpc, encodeSignal, FrameError } from "../../src/mesh/frames.ts";
import type { Frame } from "../../src/mesh/frames.ts";
import type { ForwardedRequest, LoadReport, Outcome } from "../../src/mesh/types.ts";
import { MemoryBudget } from "../../src/policy/memoryBudget.ts";
import { makeForwardedRequest } from "../support/meshFixtures.ts";

const asciiText = (maxLength: number) =>
    fc.array(fc.integer({ min: 32, max: 126 }), { maxLength }).map(codes => String.fromCharCode(...codes));
const body = fc.uint8Array({ maxLength: 3000 }).map(bytes => Buffer.from(bytes));
const uint32 = fc.integer({ min: 0, max: 0xffffffff });

const requests: fc.Arbitrary<ForwardedRequest> = fc.record({
    requestId: asciiText(255),
    service: asciiText(60),
    route: asciiText(60),
    callerService: asciiText(60),
    method: asciiText(10),
    path: asciiText(600),
    headers: asciiText(2000),
    body,
    isIdempotent: fc.boolean(),
    isNested: fc.boolean(),
    level: fc.integer({ min: 0, max: 1023 }),
    leftMs: uint32,
    maxQueueMs: uint32,
});

const outcomes: fc.Arbitrary<Outcome> = fc.oneof(
    fc.record({
        kind: fc.constant("answer" as const),
        status: fc.integer({ min: 200, max: 599 }),
        headers: asciiText(500),
        body,
    }),
    fc.record({
        kind: fc.constant("not-run" as const),
        reason: fc.constantFrom("overload" as const, "draining" as const, "deadline" as const),
    }),
    fc.record({
        kind: fc.constant("unknown" as const),
        reason: fc.constantFrom("link-lost" as const, "stopping" as const),
    }),
);

const LOAD: LoadReport = {
    cutoff: 300,
    running: 7,
    queued: 2,
    limit: 24,
    serviceMs: 31.25,
    configVersion: 12,
};

function readFrames(bytes: Buffer, chunkBytes: number, memory?: MemoryBudget): readonly Frame[] {
    const reader = new FrameReader(memory);
    const frames: Frame[] = [];
    for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
        reader.feed(bytes.subarray(offset, offset + chunkBytes));
        for (let frame = reader.next(); frame !== undefined; frame = reader.next()) frames.push(frame);
    }
    return frames;
}

describe("frames between nodes", () => {
    it("decode to the encoded requests, responses and signals at any split of the bytes", () => {
        fc.assert(
            fc.property(
                requests,
                outcomes,
                fc.integer({ min: 1, max: 5000 }),
                (request, outcome, chunkBytes) => {
                    const bytes = Buffer.concat([
                        encodeRequest(5, request),
                        encodeSignal("cancel", 6),
                        encodeResponse(7, outcome, LOAD),
                        encodeRpc("{\"é\":1}"),
                    ].flat());
                    expect(readFrames(bytes, chunkBytes)).to.deep.equal([
                        { type: "request", stream: 5, request },
                        { type: "cancel", stream: 6 },
                        { type: "response", stream: 7, load: LOAD, outcome },
                        { type: "rpc", message: "{\"é\":1}" },
                    ]);
                },
            ),
        );
    });

    it("keep a large body as it arrived, and are followed by others", () => {
        const body = Buffer.from(Array.from({ length: 300_000 }, (_, index) => index % 251));
        const request = makeForwardedRequest({ body, headers: "A: 1\r\n" });
        const outcome = { kind: "answer", status: 200, headers: "B: 2\r\n", body } as const;
        const frames = [
            encodeRequest(5, request),
            encodeResponse(7, outcome, LOAD),
            encodeSignal("cancel", 6),
        ];
        for (const chunkBytes of [7, 65_536, 1_000_000]) {
            const read = readFrames(Buffer.concat(frames.flat()), chunkBytes).map(frame => {
                if (frame.type === "request") return [frame.request.headers, frame.request.body];
                if (frame.type === "response" && frame.outcome.kind === "answer") {
                    return [frame.outcome.headers, frame.outcome.body];
                }
                return [frame.type];
            });
            const joined = read.map(([text, part]) =>
                typeof part === "object" ? [text, Buffer.concat(piecesOf(part))] : [text]
            );
            expect(joined).to.deep.equal([["A: 1\r\n", body], ["B: 2\r\n", body], ["cancel"]]);
        }
    });

    it("are skipped and reported if there is no memory for them, and release what they held", () => {
        const budget = new MemoryBudget(250);
        budget.resize(0, 70_000_000);
        const request = makeForwardedRequest({ body: Buffer.alloc(3_000_000) });
        const bytes = Buffer.concat([encodeRequest(5, request), encodeSignal("cancel", 6)].flat());
        expect(readFrames(bytes, 65_536, budget)).to.deep.equal([
            { type: "dropped", stream: 5, dropped: "request" },
            { type: "cancel", stream: 6 },
        ]);
        expect(budget.largeBytes).to.equal(70_000_000);
        expect(budget.smallBytes).to.equal(0);
    });

    // Guards against a large frame that escapes the budget, since only part of its header came with the first bytes.
    it("are counted in the memory budget wherever their header is split", () => {
        const request = makeForwardedRequest({ body: Buffer.alloc(300_000) });
        const bytes = Buffer.concat([encodeRequest(5, request)].flat());
        for (let splitAt = 1; splitAt <= 12; splitAt++) {
            const budget = new MemoryBudget(250);
            const reader = new FrameReader(budget);
            for (const chunk of [bytes.subarray(0, splitAt), bytes.subarray(splitAt, 200_000)]) {
                reader.feed(chunk);
                expect(reader.next()).to.equal(undefined);
            }
            expect(budget.largeBytes, `split at ${splitAt}`).to.equal(200_000);
            reader.feed(bytes.subarray(200_000));
            expect(reader.next()).to.have.property("type", "request");
            expect(budget.largeBytes).to.equal(0);
        }
    });

    it("cause no error but FrameError when they are malformed", () => {
        fc.assert(fc.property(fc.uint8Array({ minLength: 4, maxLength: 300 }), bytes => {
            const buf = Buffer.from(bytes);
            buf.writeUInt32BE(buf.length - 4, 0);
            try {
                readFrames(buf, 17);
            }
            catch (err) {
                expect(err).to.be.instanceOf(FrameError);
            }
        }));
    });
});
