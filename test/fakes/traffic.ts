/** Counts the control messages of a node and their bytes, including the envelopes. */

/** Size of the JSON-RPC fields and of an HMAC-SHA-256 in hexadecimal. */
export const DATAGRAM_ENVELOPE_BYTES = 130;
/** Size of the JSON-RPC fields and of the HTTP head of a request or a response. */
export const RPC_ENVELOPE_BYTES = 250;

export class Traffic {
    messagesSent = 0;
    bytesSent = 0;
    messagesReceived = 0;
    bytesReceived = 0;

    /** Counts a message that was sent, and returns its size in bytes. */
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
