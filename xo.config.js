const customaryNames = ['req', 'res', 'cfg', 'err', 'dc', 'vm', 'args', 'env', 'ref', 'dir', 'db', 'params', 'props', 'src', 'dest', 'msg', 'fn', 'i', 'j'];

/** XO's own rules, less those that clash with the house style in docs/design.md. */
const config = [
	{
		// XO's rules need types, and the few scripts in JavaScript have none: in a fresh clone under the directory for temporary files XO fails on them.
		ignores: ['dist/**', 'build/**', 'docs/**', 'scripts/**', 'xo.config.js'],
	},
	{
		rules: {
			// The house style keeps customary short names.
			'unicorn/prevent-abbreviations': ['error', {allowList: Object.fromEntries(customaryNames.map(name => [name, true])), ignore: [/args$/i]}],
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Tsyringe needs `import 'reflect-metadata'` for its side effect.
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
			// Decision functions update the state they are handed; see docs/design.md, section 2.
			'no-param-reassign': 'off',
			// Branded ids are made by a cast at the edge.
			'@typescript-eslint/consistent-type-assertions': 'off',
			'@typescript-eslint/naming-convention': 'off',
			// The rules of the type checker already cover these, and they reject common Node idioms.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/prefer-readonly-parameter-types': 'off',
			'unicorn/no-null': 'off',
			// A switch over a union of events is checked for exhaustiveness by the type checker.
			'default-case': 'off',
			complexity: ['error', 25],
			'max-params': ['error', {max: 5}],
			'no-await-in-loop': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true, requireDefaultForNonUnion: false}],
			// Tinyhttp names its handler with a capital in its own interface.
			'new-cap': ['error', {capIsNew: false, newIsCap: true}],
			'@typescript-eslint/member-ordering': 'off',
			'unicorn/no-process-exit': 'off',
			'unicorn/prefer-event-target': 'off',
			'@typescript-eslint/class-literal-property-style': 'off',
			'@typescript-eslint/parameter-properties': 'off',
			'capitalized-comments': ['error', 'always', {ignorePattern: 'v8|c8|eslint', ignoreConsecutiveComments: true}],
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			// The test libraries are dependencies of the workspace root.
			'n/no-extraneous-import': 'off',
			'import-x/no-extraneous-dependencies': 'off',
		},
	},
];

export default config;
