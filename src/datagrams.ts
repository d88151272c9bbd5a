/** Membership messages over UDP on the peer port: JSON-RPC 2.0 notifications, signed if a peer key is set. */
import { createJSONRPCNotification, isJSONRPCRequest } from "json-rpc-2.0";
import { createSocket } from "node:dgram";
import type { RemoteInfo, Socket } from "node:dgram";
import { isIPv6 } from "node:net";
import type { ParseResult } from "./parse.ts";
import { safeParseJson, safeParsePeerDatagram } from "./parse.ts";
import type { AuthFailure, PeerAuth } from "./peerAuth.ts";
import { datagramSignatureParts } from "./peerAuth.ts";
import type { PeerDatagram } from "./peerMessages.ts";
import type { Address } from "./types.ts";

/**
 * Bounds the number of IP fragments of a datagram, because the loss of one fragment loses the whole datagram.
 */
export const DATAGRAM_LIMIT_BYTES = 8 * 1024;

export type DatagramFailure = AuthFailure | "oversized" | "json" | "malformed";

/** Encodes a datagram as JSON. When a peer key is set, the signature and a space precede the JSON. */
export function encodeDatagram(datagram: PeerDatagram, to: Address, auth: PeerAuth): string {
    const { type, ...params } = datagram;
    const json = JSON.stringify(createJSONRPCNotification(type, params));
    const signature = auth.sign(datagramSignatureParts(to, json));
    return signature === undefined ? json : `${signature} ${json}`;
}

export type DecodedDatagram =
    | { readonly success: true; readonly value: PeerDatagram; }
    | { readonly success: false; readonly reason: DatagramFailure; };

export function decodeDatagram(bytes: Buffer, self: Address, auth: PeerAuth): DecodedDatagram {
    if (bytes.length > DATAGRAM_LIMIT_BYTES) return { success: false, reason: "oversized" };
    const text = bytes.toString("utf8");
    const jsonStart = auth.enabled ? text.indexOf(" ") + 1 : 0;
    const json = text.slice(jsonStart);
    const failure = auth.verify(
        text.slice(0, Math.max(0, jsonStart - 1)),
        datagramSignatureParts(self, json),
    );
    if (failure !== undefined) return { success: false, reason: failure };
    const message = safeParseJson(json);
    if (!message.success) return { success: false, reason: "json" };
    const parsed = parseNotification(message.value);
    return parsed.success ? parsed : { success: false, reason: "malformed" };
}

function parseNotification(message: unknown): ParseResult<PeerDatagram> {
    if (!isJSONRPCRequest(message) || message.id !== undefined) {
        return { success: false, issues: [{ code: "json-rpc", path: [], message: "not a notification" }] };
    }
    return safeParsePeerDatagram({ ...message.params as object, type: message.method });
}

export interface DatagramSocketOptions {
    readonly self: Address;
    readonly auth: PeerAuth;
    readonly onDatagram: (from: Address, datagram: PeerDatagram) => void;
    readonly onFailure: (reason: DatagramFailure) => void;
    readonly onBytes: (direction: "sent" | "received", bytes: number) => void;
}

export class DatagramSocket {
    private readonly socket: Socket;
    private readonly opts: DatagramSocketOptions;

    constructor(opts: DatagramSocketOptions) {
        this.opts = opts;
        this.socket = createSocket(isIPv6(opts.self.host) ? "udp6" : "udp4");
        this.socket.on("message", (bytes, from) => this.receive(bytes, from));
    }

    listen(): Promise<void> {
        const { host, port } = this.opts.self;
        return new Promise((resolve, reject) => {
            this.socket.once("error", reject);
            this.socket.bind({ address: host, port }, () => {
                this.socket.off("error", reject);
                // A failed send counts as a lost datagram, which the membership protocol tolerates.
                this.socket.on("error", () => undefined);
                resolve();
            });
        });
    }

    send(to: Address, datagram: PeerDatagram): void {
        const bytes = Buffer.from(encodeDatagram(datagram, to, this.opts.auth));
        if (bytes.length > DATAGRAM_LIMIT_BYTES) return this.opts.onFailure("oversized");
        this.opts.onBytes("sent", bytes.length);
        this.socket.send(bytes, to.port, to.host, () => undefined);
    }

    close(): void {
        this.socket.close();
    }

    private receive(bytes: Buffer, from: RemoteInfo): void {
        this.opts.onBytes("received", bytes.length);
        const decoded = decodeDatagram(bytes, this.opts.self, this.opts.auth);
        if (!decoded.success) return this.opts.onFailure(decoded.reason);
        this.opts.onDatagram({ host: from.address, port: from.port }, decoded.value);
    }
}
