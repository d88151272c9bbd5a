/**
 * A frame that is too large to be joined. Its first bytes are joined for decoding; the rest stays in the pieces in which
 * it arrived. If there is no memory for it, the rest of the frame is skipped.
 */

export class LargeFrame {
    private pieces: Buffer[] = [];
    private bytes = 0;
    private isSkipped = false;

    constructor(private readonly totalBytes: number) {}

    /** Number of bytes in memory. */
    get heldBytes(): number {
        return this.isSkipped ? 0 : this.bytes;
    }

    get isComplete(): boolean {
        return this.bytes === this.totalBytes;
    }

    /** Adds bytes; returns those that belong to the next frame. */
    add(chunk: Buffer): Buffer | undefined {
        const missing = this.totalBytes - this.bytes;
        const own = chunk.length <= missing ? chunk : chunk.subarray(0, missing);
        this.bytes += own.length;
        if (!this.isSkipped && own.length > 0) this.pieces.push(own);
        return chunk.length > missing ? chunk.subarray(missing) : undefined;
    }

    /** Releases what has arrived. What follows is not kept. */
    skip(): void {
        this.isSkipped = true;
        this.pieces = [];
    }

    get isBeingSkipped(): boolean {
        return this.isSkipped;
    }

    /** Joins pieces until at least `bytes` bytes, or all of them, are in the first one; returns that one. */
    join(bytes: number): Buffer {
        let count = 0;
        for (let sum = 0; count < this.pieces.length && sum < bytes; count++) {
            sum += this.pieces[count]!.length;
        }
        if (count > 1) this.pieces.splice(0, count, Buffer.concat(this.pieces.slice(0, count)));
        return this.pieces[0]!;
    }

    /** The pieces after the first one. */
    get rest(): readonly Buffer[] {
        return this.pieces.slice(1);
    }
}
