/** HTTP/1.1 framing: messages are parsed the same however their bytes are split, and request smuggling is rejected. */
import { expect } from "chai";
import fc from "fast-check";
import { WIRE_HEADERS } from "../../platform/wireHeaders.ts";
import { createHeadParsers } from "../../src/http/messageHead.ts";
import type { RequestHead, ResponseHead } from "../../src/http/messageHead.ts";
import { HttpSyntaxError, MessageReader } from "../../src/http/messageReader.ts";
import type { HttpMessage, ReaderLimits } from "../../src/http/messageReader.ts";

const { parseRequest, parseResponse } = createHeadParsers(WIRE_HEADERS);
const LIMITS: ReaderLimits = { maxHeadBytes: 4096, maxBodyBytes: 10_000 };

function createRequestReader(limits = LIMITS): MessageReader<RequestHead> {
    return new MessageReader(parseRequest, limits);
}

function createResponseReader(): MessageReader<ResponseHead> {
    return new MessageReader(parseResponse, LIMITS);
}

function readAll<H extends RequestHead | ResponseHead>(reader: MessageReader<H>, chunks: readonly Buffer[]) {
    const messages: HttpMessage<H>[] = [];
    for (const chunk of chunks) {
        reader.feed(chunk);
        for (let message = reader.next(); message !== undefined; message = reader.next()) {
            messages.push(message);
        }
    }
    return messages;
}

function splitAt(bytes: Buffer, cuts: readonly number[]): readonly Buffer[] {
    const boundaries = [...new Set([0, ...cuts.map(cut => cut % bytes.length), bytes.length])].sort((a, b) =>
        a - b
    );
    return boundaries.slice(1).map((boundary, index) => bytes.subarray(boundaries[index], boundary));
}

function requestText({ headers = "", body = "" } = {}): string {
    return `POST /a/b?c=d HTTP/1.1\r\nHost: Shop.example:80\r\nX-Request-Id: r1\r\n${headers}\r\n${body}`;
}

function parseErrorStatus(text: string, limits = LIMITS): number | undefined {
    try {
        readAll(createRequestReader(limits), [Buffer.from(text, "latin1")]);
        return undefined;
    }
    catch (err) {
        if (err instanceof HttpSyntaxError) return err.status;
        throw err;
    }
}

describe("HTTP framing", () => {
    it("parses the same requests regardless of how the bytes are split", () => {
        const text = requestText({ headers: "Content-Length: 5\r\n", body: "hello" })
            + requestText({
                headers: "Transfer-Encoding: chunked\r\n",
                body: "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n",
            })
            + requestText();
        fc.assert(fc.property(fc.array(fc.nat(), { maxLength: 12 }), cuts => {
            const messages = readAll(createRequestReader(), splitAt(Buffer.from(text, "latin1"), cuts));
            expect(messages.map(({ body }) => body.toString())).to.deep.equal(["hello", "abcde", ""]);
            expect(messages.map(({ head }) => head.host)).to.deep.equal(Array(3).fill("shop.example"));
        }));
    });

    it("returns a chunked body unchanged for any chunk sizes", () => {
        const pieceSizes = fc.array(fc.integer({ min: 1, max: 3000 }), { minLength: 1, maxLength: 60 });
        fc.assert(fc.property(pieceSizes, sizes => {
            const pieces = sizes.map((size, index) => String.fromCharCode(97 + index % 26).repeat(size));
            const reader = createRequestReader({ maxHeadBytes: 4096, maxBodyBytes: 1_000_000 });
            reader.feed(Buffer.from(requestText({ headers: "Transfer-Encoding: chunked\r\n" })));
            for (const piece of pieces) {
                reader.feed(Buffer.from(`${piece.length.toString(16)}\r\n${piece}\r\n`));
                expect(reader.next()).to.equal(undefined);
            }
            reader.feed(Buffer.from("0\r\n\r\n"));
            expect(reader.next()!.body.toString()).to.equal(pieces.join(""));
        }));
    });

    it("throws only HttpSyntaxError for random bytes", () => {
        fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 5 }), chunks => {
            for (const reader of [createRequestReader(), createResponseReader()]) {
                try {
                    readAll(reader as MessageReader<RequestHead>, chunks.map(chunk => Buffer.from(chunk)));
                }
                catch (err) {
                    expect(err).to.be.instanceOf(HttpSyntaxError);
                }
            }
        }));
    });

    it("rejects messages that two parsers could interpret differently", () => {
        const ambiguousHeaders = [
            "Content-Length: 1\r\nContent-Length: 2\r\n",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: +3\r\n",
            "Content-Length: 0x3\r\n",
            "Content-Length : 3\r\n",
            "X: a\nContent-Length: 3\r\n",
            " folded: x\r\n",
            "X-Request-Id: other\r\n",
            "Host: other.example\r\n",
        ];
        for (const headers of ambiguousHeaders) {
            expect(parseErrorStatus(requestText({ headers, body: "abc" })), JSON.stringify(headers)).to.equal(
                400,
            );
        }
        expect(parseErrorStatus(requestText({ headers: "Transfer-Encoding: gzip, chunked\r\n" }))).to.equal(
            501,
        );
        expect(parseErrorStatus(requestText({ headers: "Transfer-Encoding: chunked\r\n", body: "g\r\n" }))).to
            .equal(400);
        expect(
            parseErrorStatus(
                requestText({ headers: "Transfer-Encoding: chunked\r\n", body: "1\r\nabc\r\n" }),
            ),
        )
            .to
            .equal(400);
        expect(parseErrorStatus("GET / HTTP/2.0\r\nHost: a\r\n\r\n")).to.equal(400);
        expect(parseErrorStatus("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n")).to.equal(400);
    });

    it("rejects heads and bodies that are too large", () => {
        expect(parseErrorStatus(requestText({ headers: `X: ${"a".repeat(5000)}\r\n` }))).to.equal(431);
        expect(parseErrorStatus(`GET /${"a".repeat(5000)}`)).to.equal(431);
        expect(parseErrorStatus(requestText({ headers: "Content-Length: 10001\r\n" }))).to.equal(413);
        expect(
            parseErrorStatus(requestText({ headers: "Transfer-Encoding: chunked\r\n", body: "ffffff\r\n" })),
        )
            .to.equal(
                413,
            );
    });

    it("forwards header fields except hop-by-hop fields and those that the node sets itself", () => {
        const headers =
            "Connection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-Caller-Service: forged\r\n"
            + "X-Target-Instance: forged\r\nX-Request-Deadline-Ms: 250\r\nX-Own: kept\r\n";
        const [message] = readAll(createRequestReader(), [Buffer.from(requestText({ headers }), "latin1")]);
        expect(message!.head.headers).to.equal(
            "Host: Shop.example:80\r\nX-Request-Id: r1\r\nX-Own: kept\r\n",
        );
        expect(message!.head).to.include({
            keepAlive: false,
            deadlineMs: 250,
            path: "/a/b?c=d",
            method: "POST",
        });
    });

    it("completes a response without a length only when its connection ends", () => {
        const reader = createResponseReader();
        reader.feed(Buffer.from("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\npart"));
        expect(reader.next()).to.equal(undefined);
        expect(reader.end()!.body.toString()).to.equal("part");
    });

    it("returns no message for a truncated response", () => {
        const reader = createResponseReader();
        reader.feed(Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"));
        expect(reader.next()).to.equal(undefined);
        expect(reader.end()).to.equal(undefined);
    });

    // A target in trouble may send such a status line; forwarded, the client would take it for a response.
    it("rejects a response whose status is not between 100 and 599", () => {
        for (const status of ["000", "099", "600", "999", "20", "2000"]) {
            const reader = createResponseReader();
            reader.feed(Buffer.from(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`));
            expect(() => reader.next(), status).to.throw(HttpSyntaxError);
        }
    });

    it("expects no body in the response to a HEAD request", () => {
        const reader = createResponseReader();
        reader.isBodyless = true;
        reader.feed(Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"));
        expect(reader.next()!.body.length).to.equal(0);
    });
});
