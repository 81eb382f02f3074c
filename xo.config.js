/** XO's rules, and where the house style gives way or goes further; CONTRIBUTING.md says why. */
const xoConfig = [
	{ignores: ['**/gen/**', '**/dist/**', 'docs/**', 'tests/golden/**']},
	{
		// The OpenAI form names its fields with underscores.
		files: [
			'packages/caller/src/chat-*.ts',
			'packages/caller/src/caller-api.ts',
			'packages/endpoint/src/model-server.ts',
			'packages/standins/src/model-server-standin.ts',
			'packages/standins/src/caller-client.ts',
			'tests/**/*.ts',
		],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
];

export default xoConfig;
