/** XO's rules, and where the house style gives way or goes further; CONTRIBUTING.md says why. */
const xoConfig = [
	{ignores: ['**/gen/**', '**/dist/**', 'docs/**']},
	{
		// The platform's configuration names some fields with underscores.
		files: ['platform/src/configuration-codec.ts', 'packages/standins/src/platform-operator-standin.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// The OpenAI form names its fields with underscores.
		files: [
			'packages/caller/src/chat-*.ts',
			'packages/caller/src/caller-api.ts',
			'packages/endpoint/src/model-server.ts',
			'packages/standins/src/model-server-standin.ts',
			'packages/standins/src/caller-client.ts',
		],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// The tools of the tests are the workspace's, not a package's.
		files: ['**/*.test.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default xoConfig;
