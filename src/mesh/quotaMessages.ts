/** Wire form of the method `quota.report`: arrays without field names, since these messages are frequent. */
import * as v from "valibot";
import { poolCountOf } from "../policy/quotaTypes.ts";
import type { QuotaReport, QuotaResponse } from "../policy/quotaTypes.ts";

const MAX_NODES = 100_000;
const MAX_ENTRIES = 10_000;
const MAX_TOKENS = 1e9;
const MAX_WAIT_MS = 60_000;

const countSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const nameSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const accountKeySchema = v.union([countSchema, v.pipe(v.string(), v.maxLength(1000))]);
const tokensSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0), v.maxValue(MAX_TOKENS));
const waitSchema = v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_WAIT_MS));

const reportSchema = v.pipe(
    v.strictTuple([
        nameSchema,
        v.strictTuple([countSchema, countSchema]),
        countSchema,
        v.pipe(v.number(), v.safeInteger(), v.minValue(1), v.maxValue(MAX_NODES)),
        countSchema,
        countSchema,
        v.nullable(v.strictTuple([countSchema, countSchema])),
        v.boolean(),
        v.pipe(
            v.array(v.strictTuple([
                accountKeySchema,
                tokensSchema,
                tokensSchema,
                tokensSchema,
                v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_TOKENS)),
            ])),
            v.maxLength(MAX_ENTRIES),
        ),
    ]),
    v.check(
        ([, , , nodeCount, poolCount, poolIndex]) =>
            poolCount === poolCountOf(nodeCount) && poolIndex < poolCount,
        "no such pool",
    ),
);

const responseSchema = v.strictTuple([
    countSchema,
    v.strictTuple([countSchema, countSchema]),
    v.pipe(
        v.array(v.strictTuple([
            accountKeySchema,
            v.pipe(v.number(), v.safeInteger(), v.minValue(-MAX_TOKENS), v.maxValue(MAX_TOKENS)),
            waitSchema,
            waitSchema,
        ])),
        v.maxLength(MAX_ENTRIES),
    ),
]);

export function encodeReport(report: QuotaReport): unknown {
    const { node, sent, version, nodeCount, poolCount, poolIndex, echo, isDelegating, entries } = report;
    return [
        node,
        [sent.process, Math.floor(sent.at)],
        version,
        nodeCount,
        poolCount,
        poolIndex,
        echo === undefined ? null : [echo.process, echo.at],
        isDelegating,
        entries,
    ];
}

/** Returns `undefined` if the message is malformed. */
export function safeDecodeReport(input: unknown): QuotaReport | undefined {
    const result = v.safeParse(reportSchema, input);
    if (!result.success) return undefined;
    const [node, sent, version, nodeCount, poolCount, poolIndex, echo, isDelegating, entries] = result.output;
    return {
        node,
        sent: { process: sent[0], at: sent[1] },
        version,
        nodeCount,
        poolCount,
        poolIndex,
        echo: echo === null ? undefined : { process: echo[0], at: echo[1] },
        isDelegating,
        entries,
    };
}

/** The time is rounded down: an earlier echo only makes the delegation shorter. */
export function encodeResponse({ version, time, entries }: QuotaResponse): unknown {
    return [version, [time.process, Math.floor(time.at)], entries];
}

/** Returns `undefined` if the message is malformed. */
export function safeDecodeResponse(input: unknown): QuotaResponse | undefined {
    const result = v.safeParse(responseSchema, input);
    if (!result.success) return undefined;
    const [version, [process, at], entries] = result.output;
    return { version, time: { process, at }, entries };
}
