/**
Answers of the model-server stand-in. They depend only on the prompt and the number of tokens, so that a test can compute
the complete answer that it expects.
*/
import {createHash} from 'node:crypto';

const words = ['buoy', 'keel', 'glaze', 'kiln', 'heat', 'slot', 'crack', 'sail', 'batch', 'pond', 'rudder', 'saucer'] as const;

const charactersPerToken = 4;

/** Returns the number of tokens that the stand-in counts for a text. */
export function getTokenCount(text: string): number {
	return Math.max(1, Math.ceil(text.length / charactersPerToken));
}

/** Returns the tokens of the answer to a prompt. */
export function getAnswerTokens(prompt: string, maximumTokens: number): readonly string[] {
	const digest = createHash('sha256').update(prompt).digest();
	return Array.from({length: maximumTokens}, (_, index) => {
		const byte = digest[index % digest.length] ?? 0;
		return `${words[(byte + index) % words.length] ?? 'buoy'}${index} `;
	});
}
