/** Control traffic of a node, with its envelopes. */

/** JSON-RPC fields and a hexadecimal HMAC-SHA-256. */
export const DATAGRAM_ENVELOPE_BYTES = 130;
/** JSON-RPC fields and HTTP heads of a request or a response. */
export const RPC_ENVELOPE_BYTES = 250;

export class Traffic {
    messagesSent = 0;
    bytesSent = 0;
    messagesReceived = 0;
    bytesReceived = 0;

    /** Counts a message and returns its size. */
    recordSent(message: unknown, envelopeBytes: number): number {
        const bytes = JSON.stringify(message).length + envelopeBytes;
        this.messagesSent++;
        this.bytesSent += bytes;
        return bytes;
    }

    recordReceived(bytes: number): void {
        this.messagesReceived++;
        this.bytesReceived += bytes;
    }
}
