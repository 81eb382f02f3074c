/**
Reads a chat completion in the OpenAI form.
*/
import type {PromptWork} from '@currantcross/core/types';
import VError from 'verror';
import {z} from 'zod';

const contentSchema = z.union([
	z.string(),
	z.array(z.looseObject({type: z.string(), text: z.string().optional()})),
]);

const chatSchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string(), content: contentSchema.nullish()})).min(1),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().optional()}).nullish(),
	max_tokens: z.number().int().positive().nullish(),
	max_completion_tokens: z.number().int().positive().nullish(),
});

/** A chat completion that was read and checked. */
export type ChatRequest = Readonly<{
	route: string;
	isStreamed: boolean;
	includesUsage: boolean;
	work: PromptWork;
}>;

const defaultMaximumTokens = 256;
const prefixCharacters = 2048;

/** Assumed until an engine's tokenizer is known: four characters of text a token. */
const charactersPerToken = 4;

function getText(content: z.infer<typeof contentSchema> | undefined): string {
	if (typeof content === 'string') {
		return content;
	}

	return content?.map(part => part.text ?? '').join('') ?? '';
}

function getTokenCount(text: string): number {
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
Reads the body of a chat completion.

@throws VError named `MalformedRequest` that names the key at fault.
*/
export function parseChatRequest(text: string, getLongHash: (text: string) => string): ChatRequest {
	const result = chatSchema.safeParse(parseJson(text));
	if (!result.success) {
		const [issue] = result.error.issues;
		throw new VError({name: 'MalformedRequest'}, '%s: %s', issue?.path.join('.') ?? '', issue?.message ?? '');
	}

	const {data} = result;
	const prompt = data.messages.map(message => getText(message.content ?? undefined)).join('\n');
	const prefix = prompt.slice(0, prefixCharacters);
	return {
		route: data.model,
		isStreamed: data.stream ?? false,
		includesUsage: data.stream_options?.include_usage ?? false,
		work: {
			kind: 'prompt',
			model: data.model,
			promptTokens: getTokenCount(prompt),
			maximumTokens: data.max_completion_tokens ?? data.max_tokens ?? defaultMaximumTokens,
			prefixKey: getLongHash(prefix),
			prefixTokens: getTokenCount(prefix),
			body: text,
		},
	};
}
