// Runs all tests. Tests that KNOWN-RED.txt lists by full title may fail; their state is printed. Any other failure, and
// a listed title without a test, make the exit status non-zero.
import Mocha from "mocha";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { register } from "tsx/esm/api";

const TIMEOUT_MS = 180_000;
const KNOWN_RED = "KNOWN-RED.txt";

function knownFailureTitles() {
    if (!existsSync(KNOWN_RED)) return [];
    return readFileSync(KNOWN_RED, "utf8").split("\n")
        .filter(line => line.startsWith("test: "))
        .map(line => line.slice("test: ".length).trim());
}

function testFiles() {
    const files = readdirSync("test", { recursive: true }).filter(file => file.endsWith(".test.ts"));
    return files.sort().map(file => `test/${file}`);
}

register();
const mocha = new Mocha({ timeout: TIMEOUT_MS, forbidOnly: true, forbidPending: true, reporter: "spec" });
for (const file of testFiles()) mocha.addFile(file);
await mocha.loadFilesAsync();

const failed = new Set();
const ran = new Set();
const runner = mocha.run(() => {
    const knownTitles = knownFailureTitles();
    for (const title of knownTitles) {
        const state = failed.has(title) ? "fails" : ran.has(title) ? "passes in this run" : "was not found";
        console.log(`known red: ${title}: ${state}`);
    }
    const missing = knownTitles.filter(title => !ran.has(title) && !failed.has(title));
    const unexpected = [...failed].filter(title => !knownTitles.includes(title));
    process.exit(unexpected.length > 0 || missing.length > 0 ? 1 : 0);
});
runner.on("fail", test => failed.add(test.fullTitle()));
runner.on("test end", test => ran.add(test.fullTitle()));
