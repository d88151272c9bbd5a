// Builds target/filbertspool.cjs, the node on the users' platform: one bundle without the packaging of an executable,
// which costs a process more to start.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/filbertspool.cjs",
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    logLevel: "warning",
});
