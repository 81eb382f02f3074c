/**
Parses chat completion requests in the format of the OpenAI API.
*/
import type {PromptWork} from '@currantcross/core/types';
import VError from 'verror';
import {z} from 'zod';

const contentSchema = z.union([
	z.string(),
	z.array(z.looseObject({type: z.string(), text: z.string().optional()})),
]);

const chatRequestSchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string(), content: contentSchema.nullish()})).min(1),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().optional()}).nullish(),
	max_tokens: z.number().int().positive().nullish(),
	max_completion_tokens: z.number().int().positive().nullish(),
});

/** A validated chat completion request. */
export type ChatRequest = Readonly<{
	route: string;
	isStreamed: boolean;
	includesUsage: boolean;
	work: PromptWork;
}>;

/** Maximum number of completion tokens for requests that set no limit. */
const defaultMaximumTokens = 256;

/** Maximum length of the leading part of the prompt that is hashed into the prefix key. */
const maximumPrefixCharacters = 2048;

/** Assumed average, because the tokenizer of the engine is not known here. */
const charactersPerToken = 4;

function getContentText(content: z.infer<typeof contentSchema> | undefined): string {
	if (typeof content === 'string') {
		return content;
	}

	return content?.map(part => part.text ?? '').join('') ?? '';
}

function getEstimatedTokenCount(text: string): number {
	return Math.max(1, Math.ceil(text.length / charactersPerToken));
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		throw new VError({name: 'MalformedRequest'}, 'the body is not JSON');
	}
}

/**
Parses the body of a chat completion request.

@throws VError named `MalformedRequest` with the path of the invalid key.
*/
export function parseChatRequest(text: string, getLongHash: (text: string) => string): ChatRequest {
	const result = chatRequestSchema.safeParse(parseJson(text));
	if (!result.success) {
		const [issue] = result.error.issues;
		throw new VError({name: 'MalformedRequest'}, '%s: %s', issue?.path.join('.') ?? '', issue?.message ?? '');
	}

	const {data} = result;
	const prompt = data.messages.map(message => getContentText(message.content ?? undefined)).join('\n');
	const prefix = prompt.slice(0, maximumPrefixCharacters);
	return {
		route: data.model,
		isStreamed: data.stream ?? false,
		includesUsage: data.stream_options?.include_usage ?? false,
		work: {
			kind: 'prompt',
			model: data.model,
			promptTokens: getEstimatedTokenCount(prompt),
			maximumTokens: data.max_completion_tokens ?? data.max_tokens ?? defaultMaximumTokens,
			prefixKey: getLongHash(prefix),
			prefixTokens: getEstimatedTokenCount(prefix),
			body: text,
		},
	};
}
