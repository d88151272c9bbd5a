/**
 * Heads of HTTP/1.1 requests and answers, parsed from their lines. What concerns one connection only is taken out;
 * the other header lines are kept as one block of text, ready to be written again.
 */
import { HttpSyntaxError } from "./messageReader.ts";
import type { BodyFraming, MessageHead } from "./messageReader.ts";

export interface RequestHead extends MessageHead {
    readonly method: string;
    /** Path and query, as sent. */
    readonly path: string;
    /** Lower case, without a port. */
    readonly host: string;
    readonly requestId: string;
    /** What the caller is willing to wait, in ms. */
    readonly deadlineMs: number | undefined;
    readonly keepAlive: boolean;
    readonly expectsContinue: boolean;
    /** Header lines to pass on, each with its line end. */
    readonly headers: string;
}

export interface ResponseHead extends MessageHead {
    readonly status: number;
    readonly requestId: string | undefined;
    readonly hasSeal: boolean;
    /** The target states that it has not run the request. */
    readonly notExecuted: boolean;
    readonly keepAlive: boolean;
    /** Idle time after which the target closes the connection, in ms. */
    readonly idleTimeoutMs: number | undefined;
    readonly instanceId: string | undefined;
    readonly headers: string;
}

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const REQUEST_LINE = /^([A-Z]{1,20}) (\/[\x21-\x7e]*) HTTP\/1\.([01])$/;
const STATUS_LINE = /^HTTP\/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?$/;
// eslint-disable-next-line no-control-regex
const BAD_VALUE = /[\x00-\x08\x0a-\x1f\x7f]/;
const DIGITS = /^[0-9]{1,15}$/;
const HOST = /^[A-Za-z0-9.\-_]+(?::[0-9]{1,5})?$/;

interface Fields {
    contentLength: number | undefined;
    chunked: boolean;
    connection: string;
    host: string | undefined;
    requestId: string | undefined;
    deadline: string | undefined;
    expect: string | undefined;
    keepAlive: string | undefined;
    hasSeal: boolean;
    notExecuted: boolean;
    instanceId: string | undefined;
    headers: string;
}

function noFields(): Fields {
    return {
        contentLength: undefined,
        chunked: false,
        connection: "",
        host: undefined,
        requestId: undefined,
        deadline: undefined,
        expect: undefined,
        keepAlive: undefined,
        hasSeal: false,
        notExecuted: false,
        instanceId: undefined,
        headers: "",
    };
}

/** Throws `HttpSyntaxError`. */
export function parseRequestHead(text: string): RequestHead {
    const lineEnd = firstLineEnd(text);
    const match = REQUEST_LINE.exec(text.slice(0, lineEnd));
    if (match === null) throw new HttpSyntaxError(400, "malformed request line");
    const fields = parseFields(text, lineEnd + 2, true);
    if (fields.host === undefined || !HOST.test(fields.host)) {
        throw new HttpSyntaxError(400, "missing or bad host");
    }
    return {
        method: match[1]!,
        path: match[2]!,
        host: hostName(fields.host),
        requestId: fields.requestId ?? "",
        deadlineMs: parseDeadline(fields.deadline),
        keepAlive: keepsAlive(fields.connection, match[3]!),
        expectsContinue: fields.expect?.toLowerCase() === "100-continue",
        headers: fields.headers,
        framing: requestFraming(fields),
    };
}

/** Throws `HttpSyntaxError`. */
export function parseResponseHead(text: string): ResponseHead {
    const lineEnd = firstLineEnd(text);
    const match = STATUS_LINE.exec(text.slice(0, lineEnd));
    if (match === null) throw new HttpSyntaxError(502, "malformed status line");
    const fields = parseFields(text, lineEnd + 2, false);
    const status = Number(match[2]);
    return {
        status,
        requestId: fields.requestId,
        hasSeal: fields.hasSeal,
        notExecuted: fields.notExecuted,
        keepAlive: keepsAlive(fields.connection, match[1]!),
        idleTimeoutMs: parseKeepAlive(fields.keepAlive),
        instanceId: fields.instanceId,
        headers: fields.headers,
        framing: responseFraming(fields, status),
    };
}

function firstLineEnd(text: string): number {
    const end = text.indexOf("\r\n");
    return end < 0 ? text.length : end;
}

function parseFields(text: string, from: number, ofRequest: boolean): Fields {
    const fields = noFields();
    let start = from;
    while (start < text.length) {
        let end = text.indexOf("\r\n", start);
        if (end < 0) end = text.length;
        const colon = text.indexOf(":", start);
        if (colon <= start || colon > end) throw new HttpSyntaxError(400, "malformed header line");
        const name = text.slice(start, colon);
        if (!TOKEN.test(name)) throw new HttpSyntaxError(400, "malformed header name");
        const value = text.slice(colon + 1, end).trim();
        if (BAD_VALUE.test(value)) throw new HttpSyntaxError(400, "malformed header value");
        if (takeField(fields, name.toLowerCase(), value, ofRequest)) {
            fields.headers += `${name}: ${value}\r\n`;
        }
        start = end + 2;
    }
    if (fields.connection !== "") fields.headers = withoutNamed(fields.headers, fields.connection);
    return fields;
}

/** Notes a header field; returns whether it is passed on. */
function takeField(fields: Fields, name: string, value: string, ofRequest: boolean): boolean {
    switch (name) {
        case "content-length":
            takeLength(fields, value);
            return false;
        case "transfer-encoding":
            if (value.toLowerCase() !== "chunked" || fields.chunked) {
                throw new HttpSyntaxError(ofRequest ? 501 : 502, "unsupported transfer coding");
            }
            fields.chunked = true;
            return false;
        case "connection":
            fields.connection += fields.connection === "" ? value.toLowerCase() : `,${value.toLowerCase()}`;
            return false;
        case "keep-alive":
            fields.keepAlive = value;
            return false;
        case "proxy-connection":
        case "te":
        case "trailer":
        case "upgrade":
            return false;
        case "host":
            if (fields.host !== undefined) throw new HttpSyntaxError(400, "more than one host");
            fields.host = value;
            return true;
        case "x-request-id":
            if (fields.requestId !== undefined) throw new HttpSyntaxError(400, "more than one request id");
            fields.requestId = value;
            return true;
        case "x-request-deadline-ms":
            fields.deadline ??= value;
            return !ofRequest;
        case "x-caller-service":
        case "x-target-instance":
            return !ofRequest;
        case "expect":
            fields.expect = value;
            return false;
        case "x-response-seal":
            fields.hasSeal = value !== "";
            return true;
        case "x-not-executed":
            fields.notExecuted = true;
            return true;
        case "x-instance-id":
            fields.instanceId = value;
            return true;
        default:
            return true;
    }
}

function takeLength(fields: Fields, value: string): void {
    if (!DIGITS.test(value)) throw new HttpSyntaxError(400, "malformed content length");
    const length = Number(value);
    if (fields.contentLength !== undefined && fields.contentLength !== length) {
        throw new HttpSyntaxError(400, "conflicting content lengths");
    }
    fields.contentLength = length;
}

/** Takes out the header lines that `Connection` names. */
function withoutNamed(headers: string, connection: string): string {
    const named = connection.split(",").map(part => part.trim())
        .filter(part => part !== "" && part !== "close" && part !== "keep-alive");
    if (named.length === 0) return headers;
    return headers.split("\r\n")
        .filter(line => line !== "" && !named.includes(line.slice(0, line.indexOf(":")).toLowerCase()))
        .map(line => `${line}\r\n`)
        .join("");
}

function requestFraming(fields: Fields): BodyFraming {
    if (fields.chunked && fields.contentLength !== undefined) {
        throw new HttpSyntaxError(400, "both a length and a transfer coding");
    }
    if (fields.chunked) return { kind: "chunked" };
    return { kind: "length", bytes: fields.contentLength ?? 0 };
}

function responseFraming(fields: Fields, status: number): BodyFraming {
    if (status < 200 || status === 204 || status === 304) return { kind: "length", bytes: 0 };
    if (fields.chunked && fields.contentLength !== undefined) {
        throw new HttpSyntaxError(502, "both a length and a transfer coding");
    }
    if (fields.chunked) return { kind: "chunked" };
    if (fields.contentLength !== undefined) return { kind: "length", bytes: fields.contentLength };
    return { kind: "until-close" };
}

function keepsAlive(connection: string, minorVersion: string): boolean {
    const options = connection.split(",").map(option => option.trim());
    if (options.includes("close")) return false;
    return minorVersion === "1" || options.includes("keep-alive");
}

function hostName(host: string): string {
    const colon = host.indexOf(":");
    return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

function parseDeadline(value: string | undefined): number | undefined {
    if (value === undefined) return undefined;
    if (!DIGITS.test(value)) throw new HttpSyntaxError(400, "malformed deadline");
    return Number(value);
}

function parseKeepAlive(value: string | undefined): number | undefined {
    const seconds = value === undefined ? null : /timeout\s*=\s*([0-9]{1,6})/.exec(value);
    return seconds === null ? undefined : Number(seconds[1]) * 1000;
}
