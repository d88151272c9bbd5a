/**
 * Parses the heads of HTTP/1.1 requests and responses. Bare line feeds, folded header lines, conflicting lengths and
 * unknown transfer codings are errors, because accepting them would allow request smuggling.
 *
 * Header fields that apply to one connection only are removed; in requests, so are those that the node sets itself. The
 * other header lines are kept unchanged in one string, ready to be forwarded. The names of the platform's own header
 * fields are passed in as `HeaderNames`, so that this module does not depend on a platform.
 */
import { HttpSyntaxError } from "./messageReader.ts";
import type { BodyFraming, MessageHead } from "./messageReader.ts";

export interface RequestHead extends MessageHead {
    readonly method: string;
    /** Path and query as received. */
    readonly path: string;
    /** `Host` in lower case, without a port. */
    readonly host: string;
    /** Empty if the request has none. */
    readonly requestId: string;
    /** Time in ms that the caller is willing to wait; `undefined` if the request does not state it. */
    readonly deadlineMs: number | undefined;
    readonly keepAlive: boolean;
    /** Whether the client waits for `100 Continue` before it sends the body. */
    readonly expectsContinue: boolean;
    /** Key of the client's account; `undefined` if the request has none. Its lines are not part of `headers`. */
    readonly accountKey: string | undefined;
    /** Header lines to forward, each with its CRLF. */
    readonly headers: string;
}

export interface ResponseHead extends MessageHead {
    readonly status: number;
    readonly requestId: string | undefined;
    /** The target's signature of its response. */
    readonly seal: string | undefined;
    /** Whether the target states that it has not run the request. */
    readonly notExecuted: boolean;
    readonly keepAlive: boolean;
    /** Idle time in ms after which the target closes the connection, according to its `Keep-Alive` field. */
    readonly idleTimeoutMs: number | undefined;
    readonly instanceId: string | undefined;
    /** Header lines to forward, each with its CRLF. */
    readonly headers: string;
}

/** Names of the platform's header fields, in the letter case in which the node writes them. */
export interface HeaderNames {
    readonly requestId: string;
    /** Time in ms that the caller is willing to wait. */
    readonly deadlineMs: string;
    /** Service on whose host the request originated. Set by the node, which drops any value in a received request. */
    readonly callerService: string;
    /** The only instance that may run the request. Set by the node, which drops any value in a received request. */
    readonly targetInstance: string;
    readonly seal: string;
    readonly notExecuted: string;
    readonly instanceId: string;
    /** Key of a client's account, dropped from requests; `undefined` if the platform has no accounts. */
    readonly accountKey?: string;
    /** Name of a client's account. Set by the node, which drops any value in a received request. */
    readonly accountName?: string;
}

export interface HeadParsers {
    /** Throws `HttpSyntaxError`. */
    readonly parseRequest: (text: string) => RequestHead;
    /** Throws `HttpSyntaxError`. */
    readonly parseResponse: (text: string) => ResponseHead;
}

type FieldKind =
    | "content-length"
    | "transfer-encoding"
    | "connection"
    | "keep-alive"
    | "hop-by-hop"
    | "host"
    | "expect"
    | "request-id"
    | "deadline"
    | "set-by-node"
    | "account-key"
    | "seal"
    | "not-executed"
    | "instance-id"
    | "other";

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const REQUEST_LINE = /^([A-Z]{1,20}) (\/[\x21-\x7e]*) HTTP\/1\.([01])$/;
const STATUS_LINE = /^HTTP\/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?$/;
/** Control characters except tab, and CR or LF outside of a CRLF. */
// eslint-disable-next-line no-control-regex
const INVALID_CHARACTER = /[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|(?<!\r)\n/;
const DIGITS = /^[0-9]{1,15}$/;
const HOST = /^[A-Za-z0-9.\-_]+(?::[0-9]{1,5})?$/;

const STANDARD_FIELDS: readonly (readonly [string, FieldKind])[] = [
    ["content-length", "content-length"],
    ["transfer-encoding", "transfer-encoding"],
    ["connection", "connection"],
    ["keep-alive", "keep-alive"],
    ["proxy-connection", "hop-by-hop"],
    ["te", "hop-by-hop"],
    ["trailer", "hop-by-hop"],
    ["upgrade", "hop-by-hop"],
    ["host", "host"],
    ["expect", "expect"],
];

interface ParsedFields {
    contentLength: number | undefined;
    chunked: boolean;
    connectionOptions: string;
    host: string | undefined;
    requestId: string | undefined;
    deadline: string | undefined;
    expect: string | undefined;
    accountKey: string | undefined;
    keepAliveParameters: string | undefined;
    seal: string | undefined;
    notExecuted: boolean;
    instanceId: string | undefined;
    headers: string;
}

export function createHeadParsers(names: HeaderNames): HeadParsers {
    const kinds = createFieldKinds(names);
    return {
        parseRequest: text => parseRequestHead(text, kinds),
        parseResponse: text => parseResponseHead(text, kinds),
    };
}

/**
 * Field kinds by field name. The keys are in lower case at first. `fieldKindOf` adds each name as received, so that
 * most names are found without converting them to lower case.
 */
function createFieldKinds(names: HeaderNames): Map<string, FieldKind> {
    return new Map<string, FieldKind>([
        ...STANDARD_FIELDS,
        [names.requestId.toLowerCase(), "request-id"],
        [names.deadlineMs.toLowerCase(), "deadline"],
        [names.callerService.toLowerCase(), "set-by-node"],
        [names.targetInstance.toLowerCase(), "set-by-node"],
        [names.seal.toLowerCase(), "seal"],
        [names.notExecuted.toLowerCase(), "not-executed"],
        [names.instanceId.toLowerCase(), "instance-id"],
        ...optionalField(names.accountKey, "account-key"),
        ...optionalField(names.accountName, "set-by-node"),
    ]);
}

function optionalField(name: string | undefined, kind: FieldKind): readonly (readonly [string, FieldKind])[] {
    return name === undefined ? [] : [[name.toLowerCase(), kind]];
}

function parseRequestHead(text: string, kinds: Map<string, FieldKind>): RequestHead {
    const lineEnd = firstLineEnd(text);
    const match = REQUEST_LINE.exec(text.slice(0, lineEnd));
    if (match === null) throw new HttpSyntaxError(400, "malformed request line");
    const fields = parseFields(text, lineEnd + 2, kinds, true);
    if (fields.host === undefined || !HOST.test(fields.host)) {
        throw new HttpSyntaxError(400, "missing or invalid Host header field");
    }
    return {
        method: match[1]!,
        path: match[2]!,
        host: hostWithoutPort(fields.host),
        requestId: fields.requestId ?? "",
        deadlineMs: parseDeadline(fields.deadline),
        keepAlive: isPersistentConnection(fields.connectionOptions, match[3]!),
        expectsContinue: fields.expect?.toLowerCase() === "100-continue",
        accountKey: fields.accountKey === "" ? undefined : fields.accountKey,
        headers: fields.headers,
        framing: requestFraming(fields),
    };
}

function parseResponseHead(text: string, kinds: Map<string, FieldKind>): ResponseHead {
    const lineEnd = firstLineEnd(text);
    const match = STATUS_LINE.exec(text.slice(0, lineEnd));
    if (match === null) throw new HttpSyntaxError(502, "malformed status line");
    const fields = parseFields(text, lineEnd + 2, kinds, false);
    const status = Number(match[2]);
    return {
        status,
        requestId: fields.requestId,
        seal: fields.seal,
        notExecuted: fields.notExecuted,
        keepAlive: isPersistentConnection(fields.connectionOptions, match[1]!),
        idleTimeoutMs: parseIdleTimeout(fields.keepAliveParameters),
        instanceId: fields.instanceId,
        headers: fields.headers,
        framing: responseFraming(fields, status),
    };
}

function firstLineEnd(text: string): number {
    const end = text.indexOf("\r\n");
    return end < 0 ? text.length : end;
}

/** Parses all header lines. Consecutive lines to be forwarded are copied as one slice. */
function parseFields(
    text: string,
    fieldsStart: number,
    kinds: Map<string, FieldKind>,
    isRequest: boolean,
): ParsedFields {
    if (INVALID_CHARACTER.test(text)) throw new HttpSyntaxError(400, "invalid character in head");
    const parsed = createParsedFields();
    let forwardStart = fieldsStart;
    let lineStart = fieldsStart;
    while (lineStart < text.length) {
        let lineEnd = text.indexOf("\r\n", lineStart);
        if (lineEnd < 0) lineEnd = text.length;
        const colon = text.indexOf(":", lineStart);
        if (colon <= lineStart || colon > lineEnd) {
            throw new HttpSyntaxError(400, "malformed header field line");
        }
        const kind = fieldKindOf(text.slice(lineStart, colon), kinds);
        if (kind !== "other" && !applyField(parsed, kind, text.slice(colon + 1, lineEnd).trim(), isRequest)) {
            if (lineStart > forwardStart) parsed.headers += text.slice(forwardStart, lineStart);
            forwardStart = lineEnd + 2;
        }
        lineStart = lineEnd + 2;
    }
    if (forwardStart < text.length) parsed.headers += `${text.slice(forwardStart)}\r\n`;
    if (parsed.connectionOptions !== "") {
        parsed.headers = withoutConnectionFields(parsed.headers, parsed.connectionOptions);
    }
    return parsed;
}

/** Size limit of the field kind map. Once it is reached, names that are not in the map are validated each time. */
const MAX_CACHED_FIELD_NAMES = 500;

function fieldKindOf(name: string, kinds: Map<string, FieldKind>): FieldKind {
    const cached = kinds.get(name);
    if (cached !== undefined) return cached;
    if (!TOKEN.test(name)) throw new HttpSyntaxError(400, "malformed header field name");
    const kind = kinds.get(name.toLowerCase()) ?? "other";
    if (kinds.size < MAX_CACHED_FIELD_NAMES) kinds.set(name, kind);
    return kind;
}

function createParsedFields(): ParsedFields {
    return {
        contentLength: undefined,
        chunked: false,
        connectionOptions: "",
        host: undefined,
        requestId: undefined,
        deadline: undefined,
        expect: undefined,
        accountKey: undefined,
        keepAliveParameters: undefined,
        seal: undefined,
        notExecuted: false,
        instanceId: undefined,
        headers: "",
    };
}

/** Records the value of a header field. Returns whether its line is to be forwarded. */
function applyField(fields: ParsedFields, kind: FieldKind, value: string, isRequest: boolean): boolean {
    switch (kind) {
        case "content-length":
            applyContentLength(fields, value);
            return false;
        case "transfer-encoding":
            if (value.toLowerCase() !== "chunked" || fields.chunked) {
                throw new HttpSyntaxError(isRequest ? 501 : 502, "unsupported transfer coding");
            }
            fields.chunked = true;
            return false;
        case "connection":
            fields.connectionOptions += fields.connectionOptions === ""
                ? value.toLowerCase()
                : `,${value.toLowerCase()}`;
            return false;
        case "keep-alive":
            fields.keepAliveParameters = value;
            return false;
        case "hop-by-hop":
            return false;
        case "host":
            if (fields.host !== undefined) throw new HttpSyntaxError(400, "more than one Host header field");
            fields.host = value;
            return true;
        case "request-id":
            if (fields.requestId !== undefined) throw new HttpSyntaxError(400, "more than one request id");
            fields.requestId = value;
            return true;
        case "deadline":
            fields.deadline ??= value;
            return !isRequest;
        case "set-by-node":
            return !isRequest;
        case "account-key":
            // With two keys, the account would depend on the order of the lines, which intermediaries may change.
            if (isRequest && fields.accountKey !== undefined && fields.accountKey !== value) {
                throw new HttpSyntaxError(400, "more than one account key");
            }
            fields.accountKey = value;
            return !isRequest;
        case "expect":
            fields.expect = value;
            return false;
        case "seal":
            fields.seal = value;
            return true;
        case "not-executed":
            fields.notExecuted = true;
            return true;
        case "instance-id":
            fields.instanceId = value;
            return true;
        case "other":
            return true;
    }
}

function applyContentLength(fields: ParsedFields, value: string): void {
    if (!DIGITS.test(value)) throw new HttpSyntaxError(400, "malformed Content-Length");
    const length = Number(value);
    if (fields.contentLength !== undefined && fields.contentLength !== length) {
        throw new HttpSyntaxError(400, "conflicting Content-Length values");
    }
    fields.contentLength = length;
}

/** Removes the header lines of the fields that `Connection` lists, since they apply to one connection only. */
function withoutConnectionFields(headers: string, connection: string): string {
    if (connection === "close" || connection === "keep-alive") return headers;
    const connectionFields = connection.split(",").map(part => part.trim())
        .filter(part => part !== "" && part !== "close" && part !== "keep-alive");
    if (connectionFields.length === 0) return headers;
    return headers.split("\r\n")
        .filter(line =>
            line !== "" && !connectionFields.includes(line.slice(0, line.indexOf(":")).toLowerCase())
        )
        .map(line => `${line}\r\n`)
        .join("");
}

function requestFraming(fields: ParsedFields): BodyFraming {
    if (fields.chunked && fields.contentLength !== undefined) {
        throw new HttpSyntaxError(400, "both Content-Length and Transfer-Encoding");
    }
    if (fields.chunked) return { kind: "chunked" };
    return { kind: "length", bytes: fields.contentLength ?? 0 };
}

function responseFraming(fields: ParsedFields, status: number): BodyFraming {
    if (status < 200 || status === 204 || status === 304) return { kind: "length", bytes: 0 };
    if (fields.chunked && fields.contentLength !== undefined) {
        throw new HttpSyntaxError(502, "both Content-Length and Transfer-Encoding");
    }
    if (fields.chunked) return { kind: "chunked" };
    if (fields.contentLength !== undefined) return { kind: "length", bytes: fields.contentLength };
    return { kind: "until-close" };
}

function isPersistentConnection(connection: string, minorVersion: string): boolean {
    if (connection === "") return minorVersion === "1";
    const options = connection.split(",").map(option => option.trim());
    if (options.includes("close")) return false;
    return minorVersion === "1" || options.includes("keep-alive");
}

function hostWithoutPort(host: string): string {
    const colon = host.indexOf(":");
    return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

function parseDeadline(value: string | undefined): number | undefined {
    if (value === undefined) return undefined;
    if (!DIGITS.test(value)) throw new HttpSyntaxError(400, "malformed deadline");
    return Number(value);
}

function parseIdleTimeout(value: string | undefined): number | undefined {
    const match = value === undefined ? null : /timeout\s*=\s*([0-9]{1,6})/.exec(value);
    return match === null ? undefined : Number(match[1]) * 1000;
}
