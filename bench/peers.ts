/**
 * Simulates all other members of a deployment in one process. They exchange messages of the real protocol with one real
 * node, and count the bytes in each direction.
 */
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { Socket as TcpSocket } from "node:net";
import { decodeDatagram, encodeDatagram } from "../src/datagrams.ts";
import { createNodeState } from "../src/initialState.ts";
import { createEntry, putEntry } from "../src/membership.ts";
import { onSyncRequest } from "../src/memberSync.ts";
import { PeerAuth } from "../src/peerAuth.ts";
import type { MemberUpdate, PeerDatagram, PeerRequest, PeerResponse } from "../src/peerMessages.ts";
import type { NodeState } from "../src/state.ts";
import type { Address, Member } from "../src/types.ts";

const UDP_HEADER_BYTES = 28;
const PROBE_PERIOD_MS = 1_000;
const NO_AUTH = new PeerAuth(undefined);

export interface Traffic {
    /** Bytes sent by the node, including the UDP and IP headers of datagrams. */
    readonly fromNode: number;
    readonly toNode: number;
    readonly datagramsFromNode: number;
    readonly rpcsFromNode: number;
}

export class SimulatedPeers {
    readonly members: readonly Member[];
    /** Ids of members that do not respond, as after a crash or across a partition. */
    readonly unresponsive = new Set<string>();
    updates: readonly MemberUpdate[] = [];
    private readonly node: Address;
    /** Node state whose membership all simulated members share. */
    private readonly memberState: NodeState;
    private readonly sockets: Socket[] = [];
    private readonly servers: Server[] = [];
    private readonly tcpSockets = new Set<TcpSocket>();
    private readonly closedTcpBytes = { fromNode: 0, toNode: 0 };
    private readonly udpBytes = { fromNode: 0, toNode: 0 };
    private datagramCount = 0;
    private rpcCount = 0;
    private nextSeq = 1;
    private probeTimer: NodeJS.Timeout | undefined;
    summary = { configNumber: 0, logOffset: -1 };

    constructor(members: readonly Member[], node: Address) {
        this.members = members;
        this.node = node;
        const state = createNodeState({ self: members[0]! });
        const entries = members.reduce((all, member) => putEntry(all, createEntry(member, 0)), state.members);
        this.memberState = { ...state, members: entries };
    }

    async start(): Promise<void> {
        await Promise.all(this.members.map(member => this.listenAs(member)));
        this.probeTimer = setInterval(() => this.probeNode(), PROBE_PERIOD_MS);
    }

    async stop(): Promise<void> {
        clearInterval(this.probeTimer);
        for (const socket of this.sockets) socket.close();
        for (const server of this.servers) {
            server.closeAllConnections();
            server.close();
        }
    }

    traffic(): Traffic {
        let { fromNode, toNode } = this.closedTcpBytes;
        for (const socket of this.tcpSockets) {
            fromNode += socket.bytesRead;
            toNode += socket.bytesWritten;
        }
        return {
            fromNode: fromNode + this.udpBytes.fromNode,
            toNode: toNode + this.udpBytes.toNode,
            datagramsFromNode: this.datagramCount,
            rpcsFromNode: this.rpcCount,
        };
    }

    private listenAs(member: Member): Promise<void> {
        const socket = createSocket("udp4");
        socket.on(
            "message",
            (bytes, from) => this.onDatagram(member, socket, bytes, { host: from.address, port: from.port }),
        );
        this.sockets.push(socket);
        const server = createServer((req, res) => {
            const chunks: Buffer[] = [];
            req.on("data", (chunk: Buffer) => chunks.push(chunk));
            req.on("end", () => {
                if (this.unresponsive.has(member.id)) return;
                this.rpcCount++;
                const rpcRequest = JSON.parse(Buffer.concat(chunks).toString()) as {
                    id: number;
                    method: string;
                    params: object;
                };
                const request = { ...rpcRequest.params, type: rpcRequest.method } as PeerRequest;
                res.setHeader("content-type", "application/json");
                res.end(
                    JSON.stringify({
                        jsonrpc: "2.0",
                        id: rpcRequest.id,
                        result: this.createResponse(member, request),
                    }),
                );
            });
        });
        server.on("connection", tcpSocket => {
            this.tcpSockets.add(tcpSocket);
            tcpSocket.once("close", () => {
                this.tcpSockets.delete(tcpSocket);
                this.closedTcpBytes.fromNode += tcpSocket.bytesRead;
                this.closedTcpBytes.toNode += tcpSocket.bytesWritten;
            });
        });
        this.servers.push(server);
        const { host, port } = member.address;
        return Promise.all([
            new Promise<void>(resolve => socket.bind(port, host, () => resolve())),
            new Promise<void>(resolve => server.listen(port, host, () => resolve())),
        ]).then(() => undefined);
    }

    private createResponse(member: Member, request: PeerRequest): PeerResponse {
        switch (request.type) {
            case "swim.sync":
                return onSyncRequest(this.memberState, request, performance.now()).response;
            case "control.state":
                return { type: "control.state", offset: -1, views: {} };
            case "view.back":
                return { type: "view.back", backers: [member.id] };
            case "view.promise":
                return { type: "view.promise", voter: member.id };
            case "view.relay":
                return { type: "view.relay", offset: -1 };
            case "records.handover":
                return { type: "records.handover", accepted: true };
            case "crashes.report":
                return { type: "crashes.report" };
        }
    }

    private onDatagram(member: Member, socket: Socket, bytes: Buffer, from: Address): void {
        this.udpBytes.fromNode += bytes.length + UDP_HEADER_BYTES;
        this.datagramCount++;
        if (this.unresponsive.has(member.id)) return;
        const decoded = decodeDatagram(bytes, member.address, NO_AUTH);
        if (!decoded.success) return;
        const { type, seq } = decoded.value;
        if (type === "swim.ping") {
            this.send(socket, from, { type: "swim.ack", ...this.probeFields(member, seq) });
        }
    }

    private probeNode(): void {
        const index = this.nextSeq % this.members.length;
        const member = this.members[index];
        const socket = this.sockets[index];
        if (member === undefined || socket === undefined || this.unresponsive.has(member.id)) {
            this.nextSeq++;
            return;
        }
        this.send(socket, this.node, { type: "swim.ping", ...this.probeFields(member, this.nextSeq++) });
    }

    private probeFields(
        sender: Member,
        seq: number,
    ): Omit<Extract<PeerDatagram, { type: "swim.ack"; }>, "type"> {
        return { sender, seq, summary: this.summary, updates: this.updates.slice(0, 6) };
    }

    private send(socket: Socket, to: Address, datagram: PeerDatagram): void {
        const bytes = Buffer.from(encodeDatagram(datagram, to, NO_AUTH));
        this.udpBytes.toNode += bytes.length + UDP_HEADER_BYTES;
        socket.send(bytes, to.port, to.host);
    }
}
