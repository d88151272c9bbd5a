/**
 * Signatures of messages between nodes: HMAC-SHA-256 with the shared peer key over the destination, the time
 * and the content. A recorded message is refused at any other node, and at its own after `WINDOW_MS`. A message
 * repeated within the window has no further effect: a key is recorded for the whole resend horizon, gossip is
 * ordered by refutation counters, and acknowledgements match one sequence number. Hosts' wall clocks must agree
 * within the window when a key is set.
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

    /** Without a key nothing is signed and everything is accepted. `clock` gives Unix time in ms. */
    constructor(key: string | undefined, clock: () => number = Date.now) {
        this.key = key;
        this.clock = clock;
    }

    get enabled(): boolean {
        return this.key !== undefined;
    }

    /** The signature of a message; undefined without a key. No part may contain a newline but the last. */
    sign(parts: readonly string[]): string | undefined {
        if (this.key === undefined) return undefined;
        const time = String(this.clock());
        return `${time}.${computeMac(this.key, time, parts).toString("hex")}`;
    }

    /** Why a message is refused; undefined when it is accepted. */
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

export function requestSignatureParts(to: Address, body: string): readonly string[] {
    return ["rpc", formatAddress(to), body];
}

/** An answer is bound to its request, so that it cannot answer another one. */
export function responseSignatureParts(requestSignature: string, body: string): readonly string[] {
    return ["rpc-answer", requestSignature, body];
}

/** `context` is the `fp-call` header. A streamed body is not covered: it is sent on before its end is known. */
export function runSignatureParts(to: Address, context: string, req: HttpRequest): readonly string[] {
    const body = req.stream === undefined ? createHash("sha256").update(req.body).digest("hex") : "streamed";
    return ["run", formatAddress(to), req.method, req.path, body, context];
}
