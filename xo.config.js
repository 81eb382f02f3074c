/** XO configuration. CONTRIBUTING.md gives the reasons for the exceptions. */
const xoConfig = [
	{ignores: ['**/gen/**', '**/dist/**', 'docs/**']},
	{
		// The platform's configuration has some field names in snake_case.
		files: ['platform/src/configuration-codec.ts', 'packages/standins/src/platform-operator-standin.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// The OpenAI API has its field names in snake_case.
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
		// Dependencies of tests and their fixtures are declared in the workspace's package.json, not in each package.
		files: ['**/*.test.ts', 'platform/src/test-deployment.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default xoConfig;
