/** JSON-RPC 2.0 between nodes over HTTP. The method name is the `type` of the message. */
import type { JSONRPCRequest } from "json-rpc-2.0";
import { createJSONRPCRequest, isJSONRPCResponse, JSONRPCServer } from "json-rpc-2.0";
import type { HttpClients } from "./httpClients.ts";
import { safeParsePeerRequest, safeParsePeerResponse } from "./parse.ts";
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
const RPC_CONNECTIONS = 4;

export interface RpcServerOptions {
    readonly answer: (req: PeerRequest) => Promise<PeerResponse>;
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
            return opts.answer(parsed.value);
        });
    }
    return server;
}

/** Sends a request to a node; undefined when there is no valid answer in time. */
export async function sendRpc(
    clients: HttpClients,
    to: Address,
    request: PeerRequest,
    timeoutMs: number,
): Promise<PeerResponse | undefined> {
    const { type, ...params } = request;
    const message: JSONRPCRequest = createJSONRPCRequest(1, type, params);
    try {
        const response = await clients.pool(to, RPC_CONNECTIONS, "control").request({
            method: "POST",
            path: "/rpc",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(message),
            signal: AbortSignal.timeout(timeoutMs),
        });
        const json: unknown = await response.body.json();
        if (!isJSONRPCResponse(json)) return undefined;
        const parsed = safeParsePeerResponse(json.result);
        return parsed.success ? parsed.value : undefined;
    }
    catch {
        return undefined;
    }
}
