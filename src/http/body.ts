/**
 * Body of a message. A small body is one buffer. A large one stays the list of pieces in which it arrived, which is
 * written as it is: joining it would need its memory twice.
 */
export type Body = Buffer | PiecewiseBody;

/** Bodies up to this size are joined. Larger ones count as large in `MemoryBudget`. */
export const MAX_JOINED_BODY_BYTES = 64 * 1024;

export class PiecewiseBody {
    constructor(readonly pieces: readonly Buffer[], readonly length: number) {}

    /** Joins the pieces; not used on the request path. */
    toString(encoding?: BufferEncoding): string {
        return Buffer.concat(this.pieces).toString(encoding);
    }
}

const EMPTY_BUFFER = Buffer.alloc(0);

export function createBody(pieces: readonly Buffer[], length: number): Body {
    if (pieces.length === 0) return EMPTY_BUFFER;
    if (pieces.length === 1) return pieces[0]!;
    return length <= MAX_JOINED_BODY_BYTES ? Buffer.concat(pieces) : new PiecewiseBody(pieces, length);
}

export function piecesOf(body: Body): readonly Buffer[] {
    return body instanceof PiecewiseBody ? body.pieces : [body];
}
