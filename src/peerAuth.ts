/**
 * Signatures of messages between nodes: HMAC-SHA-256 with the shared peer key over the destination, the time
 * and the content. A captured message is rejected by all other nodes, and by its destination after
 * `VALIDITY_WINDOW_MS`. Replaying it within the window has no further effect: idempotency keys are recorded
 * for `resendHorizonMs`, gossip is ordered by refutation counters (incarnation numbers in SWIM), and an
 * acknowledgement matches one sequence number. When a peer key is set, the wall clocks of any two hosts must not
 * differ by more than `VALIDITY_WINDOW_MS`. Responses to runs are not signed.
 */
import { createHash, createHmac, timingSafeEqual } from "node:crypto";
import type { HttpRequest } from "./exchanges.ts";
import type { Address } from "./types.ts";
import { formatAddress } from "./types.ts";

export const SIGNATURE_HEADER = "fp-signature";

const VALIDITY_WINDOW_MS = 60_000;
const SIGNATURE_PATTERN = /^(\d{1,16})\.([0-9a-f]{64})$/;

export type AuthFailure = "unsigned" | "forged" | "expired";

export class PeerAuth {
    private readonly key: string | undefined;
    private readonly clock: () => number;

    /** Without a key, nothing is signed and every message is accepted. `clock` returns Unix time in ms. */
    constructor(key: string | undefined, clock: () => number = Date.now) {
        this.key = key;
        this.clock = clock;
    }

    get enabled(): boolean {
        return this.key !== undefined;
    }

    /** Returns a signature, or undefined without a key. Newlines separate the parts; only the last may contain any. */
    sign(parts: readonly string[]): string | undefined {
        if (this.key === undefined) return undefined;
        const time = String(this.clock());
        return `${time}.${computeMac(this.key, time, parts).toString("hex")}`;
    }

    /** Returns why a message is rejected, or undefined when it is accepted. */
    verify(signature: unknown, parts: readonly string[]): AuthFailure | undefined {
        if (this.key === undefined) return undefined;
        const [, time, hex] = (typeof signature === "string" ? SIGNATURE_PATTERN.exec(signature) : undefined)
            ?? [];
        if (time === undefined || hex === undefined) return "unsigned";
        if (!timingSafeEqual(Buffer.from(hex, "hex"), computeMac(this.key, time, parts))) return "forged";
        return Math.abs(this.clock() - Number(time)) > VALIDITY_WINDOW_MS ? "expired" : undefined;
    }
}

function computeMac(key: string, time: string, parts: readonly string[]): Buffer {
    return createHmac("sha256", key).update([time, ...parts].join("\n")).digest();
}

export function datagramSignatureParts(to: Address, json: string): readonly string[] {
    return ["datagram", formatAddress(to), json];
}

/** For a JSON-RPC request; `runSignatureParts` is for a request that the receiver forwards to its target. */
export function requestSignatureParts(to: Address, body: string): readonly string[] {
    return ["rpc", formatAddress(to), body];
}

/** Binds a JSON-RPC response to its request, so that it cannot be replayed as the response to another request. */
export function responseSignatureParts(requestSignature: string, body: string): readonly string[] {
    return ["rpc-answer", requestSignature, body];
}

/** `context` is the `fp-call` header. A streamed body is not signed, as it is forwarded before its end arrives. */
export function runSignatureParts(to: Address, context: string, req: HttpRequest): readonly string[] {
    const body = req.stream === undefined ? createHash("sha256").update(req.body).digest("hex") : "streamed";
    return ["run", formatAddress(to), req.method, req.path, body, context];
}
