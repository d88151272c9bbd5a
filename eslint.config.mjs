import js from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/", "node_modules/", "eslint.config.mjs"] },
    js.configs.recommended,
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "curly": ["error", "multi-line"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: false, skipComments: false }],
            "no-restricted-syntax": ["error", {
                selector: "ExportDefaultDeclaration",
                message: "use named exports",
            }],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", {
                considerDefaultExhaustiveForUnions: true,
            }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/prefer-readonly": "error",
            "@typescript-eslint/require-await": "off",
        },
    },
    {
        files: ["test/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off" },
    },
);
