/** HTTP form of a request as it is sent to the local target. */
import { MAX_JOINED_BODY_BYTES, piecesOf } from "../http/body.ts";
import type { HeaderNames } from "../http/messageHead.ts";
import type { ForwardedRequest } from "./types.ts";

export interface TargetRequestOptions {
    readonly names: HeaderNames;
    /** Id of the target that is to run the request; any other one refuses it. */
    readonly targetId: string;
    /** Time in ms after which the target stops work on the request. */
    readonly leftMs: number;
}

const METHODS_WITH_BODY: readonly string[] = ["POST", "PUT", "PATCH"];

/** Returns what is to be written; only a small body is copied. */
export function encodeTargetRequest(
    req: ForwardedRequest,
    { names, targetId, leftMs }: TargetRequestOptions,
): Buffer | readonly Buffer[] {
    const { body } = req;
    const length = body.length > 0 || METHODS_WITH_BODY.includes(req.method)
        ? `Content-Length: ${body.length}\r\n`
        : "";
    const head = `${req.method} ${req.path} HTTP/1.1\r\n${req.headers}${names.deadlineMs}: ${leftMs}\r\n`
        + `${names.targetInstance}: ${targetId}\r\n${names.callerService}: ${req.callerService}\r\n${length}\r\n`;
    if (body.length === 0) return Buffer.from(head, "latin1");
    if (body.length > MAX_JOINED_BODY_BYTES) return [Buffer.from(head, "latin1"), ...piecesOf(body)];
    const buf = Buffer.allocUnsafe(head.length + body.length);
    buf.write(head, 0, "latin1");
    for (const piece of piecesOf(body)) piece.copy(buf, head.length);
    return buf;
}
