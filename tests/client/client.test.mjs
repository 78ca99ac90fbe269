// Tests a running system with the unmodified OpenAI client library. PARSLEY_BASE_URL and PARSLEY_KEY give its address and the
// caller's key.
import assert from 'node:assert/strict';
import test from 'node:test';
import OpenAI from 'openai';

const client = new OpenAI({ baseURL: process.env.PARSLEY_BASE_URL, apiKey: process.env.PARSLEY_KEY, maxRetries: 0 });
const messages = [{ role: 'user', content: 'Which wheel is free on Friday?' }];

test('lists models', async () => {
    const models = await client.models.list();
    assert.deepEqual(models.data.map(model => model.id), ['chat']);
});

test('complete chat completion', async () => {
    const response = await client.chat.completions.create({ model: 'chat', messages, max_tokens: 9, temperature: 0.2 });
    assert.equal(response.choices[0].message.role, 'assistant');
    assert.ok(response.choices[0].message.content.length > 0);
    assert.equal(response.usage.total_tokens, response.usage.prompt_tokens + response.usage.completion_tokens);
});

test('streamed chat completion gives the same text, and usage', async () => {
    const complete = await client.chat.completions.create({ model: 'chat', messages, max_tokens: 9 });
    const stream = await client.chat.completions.create({ model: 'chat', messages, max_tokens: 9, stream: true, stream_options: { include_usage: true } });
    let text = '';
    let usage = null;
    let finish = null;
    for await (const chunk of stream) {
        text += chunk.choices[0]?.delta?.content ?? '';
        finish = chunk.choices[0]?.finish_reason ?? finish;
        usage = chunk.usage ?? usage;
    }
    assert.equal(text, complete.choices[0].message.content);
    assert.deepEqual(usage, complete.usage);
    assert.equal(finish, complete.choices[0].finish_reason);
});

test('text completion', async () => {
    const response = await client.completions.create({ model: 'chat', prompt: 'clay', max_tokens: 4 });
    assert.ok(response.choices[0].text.length > 0);
});

test('a stream can be aborted by the client', async () => {
    const stream = await client.chat.completions.create({ model: 'chat', messages, max_tokens: 4000, stream: true });
    for await (const chunk of stream) {
        assert.ok(chunk.id);
        break;
    }
    stream.controller.abort();
});

test('errors are instances of the library\'s own classes', async () => {
    await assert.rejects(client.chat.completions.create({ model: 'none', messages }), OpenAI.NotFoundError);
    await assert.rejects(client.chat.completions.create({ model: 'chat', messages, n: 2 }), error => {
        assert.ok(error instanceof OpenAI.BadRequestError);
        assert.equal(error.param, 'n');
        return true;
    });
    const unauthorized = new OpenAI({ baseURL: process.env.PARSLEY_BASE_URL, apiKey: 'wrong', maxRetries: 0 });
    await assert.rejects(unauthorized.models.list(), OpenAI.AuthenticationError);
});
