/** JSON-RPC 2.0 between nodes over HTTP. The method name is the `type` of the message. */
import { createJSONRPCRequest, isJSONRPCResponse, JSONRPCServer } from "json-rpc-2.0";
import type { HttpClients } from "./httpClients.ts";
import type { Metrics } from "./metrics.ts";
import { safeParsePeerRequest, safeParsePeerResponse } from "./parse.ts";
import type { PeerAuth } from "./peerAuth.ts";
import { requestSignatureParts, responseSignatureParts, SIGNATURE_HEADER } from "./peerAuth.ts";
import type { PeerRequest, PeerResponse } from "./peerMessages.ts";
import type { Address } from "./types.ts";

const METHODS: readonly PeerRequest["type"][] = [
    "swim.sync",
    "control.state",
    "view.back",
    "view.promise",
    "view.relay",
    "records.handover",
    "crashes.report",
];
const MAX_RPC_CONNECTIONS = 4;

export interface RpcServerOptions {
    readonly handle: (req: PeerRequest) => Promise<PeerResponse>;
    readonly onBadMessage: (reason: string) => void;
}

export function createRpcServer(opts: RpcServerOptions): JSONRPCServer {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const method of METHODS) {
        server.addMethod(method, async (params: object | undefined) => {
            const parsed = safeParsePeerRequest({ ...params, type: method });
            if (!parsed.success) {
                opts.onBadMessage("malformed");
                throw new Error(`malformed ${method}: ${parsed.issues[0]?.message ?? ""}`);
            }
            return opts.handle(parsed.value);
        });
    }
    return server;
}

export interface RpcClientOptions {
    readonly clients: HttpClients;
    readonly auth: PeerAuth;
    readonly metrics: Metrics;
}

/** Sends a request to a node. Returns undefined when no valid response arrives within `timeoutMs`. */
export async function sendRpc(
    opts: RpcClientOptions,
    to: Address,
    request: PeerRequest,
    timeoutMs: number,
): Promise<PeerResponse | undefined> {
    const { auth, metrics } = opts;
    const { type, ...params } = request;
    const body = JSON.stringify(createJSONRPCRequest(1, type, params));
    const signature = auth.sign(requestSignatureParts(to, body));
    const headers: Record<string, string> = { "content-type": "application/json" };
    if (signature !== undefined) headers[SIGNATURE_HEADER] = signature;
    metrics.count("control_messages", type);
    metrics.count("control_bytes_sent", "rpc", Buffer.byteLength(body));
    try {
        const response = await opts.clients.pool(to, MAX_RPC_CONNECTIONS, "control").request({
            method: "POST",
            path: "/rpc",
            headers,
            body,
            signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await response.body.text();
        metrics.count("control_bytes_received", "rpc", Buffer.byteLength(text));
        if (response.statusCode !== 200) return undefined;
        const parts = responseSignatureParts(signature ?? "", text);
        const failure = auth.verify(response.headers[SIGNATURE_HEADER], parts);
        if (failure !== undefined) {
            metrics.count("bad_messages", failure);
            return undefined;
        }
        const json: unknown = JSON.parse(text);
        if (!isJSONRPCResponse(json)) return undefined;
        const parsed = safeParsePeerResponse(json.result);
        return parsed.success ? parsed.value : undefined;
    }
    catch {
        return undefined;
    }
}
