//! The HTTP interface for callers.

use std::rc::Rc;

use bytes::Bytes;
use comfreyturn_ports::{Clock, PlainResponse};
use comfreyturn_serving::{CallScope, CompletionCall, PlainCall, RequestService, ServingView as _};
use comfreyturn_types::{CustomerIntent, CustomerName, RefusalReason, RequestId, ServiceName};
use http::{HeaderValue, Method, Request, Response, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    address_answer::{AddressAnswer, AddressQuery},
    answer_body::{AnswerBody, json_answer, whole_body},
    completion_answer::CompletionFormat,
    completion_body::{CompletionBody, CompletionShape},
    error_answer::ErrorAnswer,
    request_head::RequestHead,
};
use crate::{CallerSettings, node_view::NodeView};

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Request headers that are not forwarded: those that concern one connection only, and the
/// caller's key.
const UNFORWARDED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

type ApiResult<T> = Result<T, ErrorAnswer>;

/// Answers callers' requests.
pub struct CallerApi {
    /// Runs requests.
    pub service: Rc<RequestService>,

    /// The node's control state.
    pub view: Rc<NodeView>,

    /// The clock that deadlines are measured by.
    pub clock: Rc<dyn Clock>,

    /// Limits on requests.
    pub settings: CallerSettings,
}

impl CallerApi {
    /// Answers one request.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let id = RequestId::from(format!("{:016x}", rand::random::<u64>()));
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let answer = self.route(&id, request).await.unwrap_or_else(ErrorAnswer::into_answer);
        log::debug!("caller: {id} {method} {path} answered with {}.", answer.status().as_u16());
        with_request_id(answer, &id)
    }

    async fn route(
        &self,
        id: &RequestId,
        request: Request<Incoming>,
    ) -> ApiResult<Response<AnswerBody>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/addresses" => method_error(&Method::GET, &request)
                .map_or_else(|| self.addresses(request.headers(), request.uri().query()), Ok),
            "/v1/completions" => self.post_completion(id, CompletionShape::Text, request).await,
            "/v1/chat/completions" => {
                self.post_completion(id, CompletionShape::Chat, request).await
            }
            path if path.starts_with(SERVICES_PREFIX) => self.plain(id, request).await,
            _ => Ok(ErrorAnswer::not_run(RefusalReason::BadRequest, "No such path.")
                .into_answer_with(StatusCode::NOT_FOUND)),
        }
    }

    // ---------------------------------------------------------------------------------------
    // Addresses

    fn addresses(
        &self,
        headers: &http::HeaderMap,
        query_text: Option<&str>,
    ) -> ApiResult<Response<AnswerBody>> {
        let query = AddressQuery::parse(query_text).ok_or_else(|| {
            ErrorAnswer::not_run(RefusalReason::BadRequest, "Parameter service is missing.")
        })?;
        let config = self.view.config();
        if !config.services.contains_key(&query.service) {
            return Err(ErrorAnswer::not_run(RefusalReason::UnknownService, "No such service."));
        }
        let head = RequestHead::parse(headers)?;
        let by_key = head.bearer.and_then(|key| config.customer_by_key(&key).cloned());
        let customer = query.customer.or(by_key.map(|customer| customer.name));
        let customer = customer.unwrap_or_else(|| CustomerName::from(""));
        let answer = AddressAnswer {
            addresses: self.view.caller_addresses(&query.service, &customer),
            valid_ms: self.settings.address_validity,
        };
        Ok(json_answer(StatusCode::OK, &answer))
    }

    // ---------------------------------------------------------------------------------------
    // Completions

    async fn post_completion(
        &self,
        id: &RequestId,
        shape: CompletionShape,
        request: Request<Incoming>,
    ) -> ApiResult<Response<AnswerBody>> {
        if let Some(answer) = method_error(&Method::POST, &request) {
            return Ok(answer);
        }
        let head = RequestHead::parse(request.headers())?;
        let customer = self.customer(&head)?;
        let bytes = self.body(request.into_body()).await?;
        let body = CompletionBody::parse(shape, &bytes)?;
        let max_tokens = self.max_tokens(&body)?;
        let format = CompletionFormat { shape, request: id.clone(), service: body.service.clone() };
        let idempotent = head.idempotent.unwrap_or(true);
        let call = CompletionCall {
            scope: self.scope(id, head, &customer, body.service, idempotent),
            prompt: body.prompt,
            max_tokens,
            parameters: body.parameters,
            body_hash: xxh3_64(&bytes),
        };
        let answer = self.service.complete(call).await?;
        if body.stream {
            return Ok(format.streamed(answer));
        }
        Ok(format.whole(answer).await?)
    }

    fn max_tokens(&self, body: &CompletionBody) -> ApiResult<u32> {
        let max_tokens = body.max_tokens.unwrap_or(self.settings.default_max_tokens);
        if max_tokens > self.settings.max_tokens {
            let limit = self.settings.max_tokens;
            let message = format!("max_tokens must be at most {limit}.");
            return Err(ErrorAnswer::not_run(RefusalReason::BadRequest, message));
        }
        Ok(max_tokens)
    }

    // ---------------------------------------------------------------------------------------
    // Plain services

    async fn plain(
        &self,
        id: &RequestId,
        request: Request<Incoming>,
    ) -> ApiResult<Response<AnswerBody>> {
        let (parts, incoming) = request.into_parts();
        let head = RequestHead::parse(&parts.headers)?;
        let customer = self.customer(&head)?;
        let (service, parts) = forwarded_parts(parts)?;
        let body = self.body(incoming).await?;
        let idempotent = head.idempotent.unwrap_or_else(|| parts.method.is_idempotent());
        let scope = self.scope(id, head, &customer, service, idempotent);
        let call = PlainCall { scope, head: parts, body };
        let response = self.service.call_plain(call).await?;
        Ok(plain_answer(response))
    }

    // ---------------------------------------------------------------------------------------
    // Shared by all requests

    fn customer(&self, head: &RequestHead) -> ApiResult<CustomerIntent> {
        let config = self.view.config();
        let customer = head.bearer.as_deref().and_then(|key| config.customer_by_key(key));
        customer.cloned().ok_or_else(|| {
            let message = "The key is missing or belongs to no customer.";
            ErrorAnswer::not_run(RefusalReason::UnknownCustomer, message)
        })
    }

    fn scope(
        &self,
        id: &RequestId,
        head: RequestHead,
        customer: &CustomerIntent,
        service: ServiceName,
        idempotent: bool,
    ) -> CallScope {
        CallScope {
            request_id: id.clone(),
            customer: customer.name.clone(),
            service,
            class: head.class,
            deadline: self.clock.now() + head.deadline.unwrap_or(customer.deadline),
            idempotency_key: head.key,
            non_idempotent: !idempotent,
        }
    }

    async fn body(&self, incoming: Incoming) -> ApiResult<Bytes> {
        let limited = Limited::new(incoming, self.settings.max_body_bytes).collect();
        match compio::time::timeout(self.settings.body_timeout, limited).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Err(ErrorAnswer::not_run(RefusalReason::TooLarge, "The body is too large."))
            }
            Ok(Err(_)) => {
                Err(ErrorAnswer::not_run(RefusalReason::BadRequest, "The body was cut short."))
            }
            Err(_) => Err(ErrorAnswer::not_run(
                RefusalReason::BadRequest,
                "The body did not come in time.",
            )),
        }
    }
}

/// The error answer to a request whose method is not `allowed`; `None` if it is.
fn method_error(allowed: &Method, request: &Request<Incoming>) -> Option<Response<AnswerBody>> {
    if request.method() == allowed {
        return None;
    }
    let message = format!("Only {allowed} is allowed here.");
    let error = ErrorAnswer::not_run(RefusalReason::BadRequest, message);
    let mut answer = error.into_answer_with(StatusCode::METHOD_NOT_ALLOWED);
    if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
        answer.headers_mut().insert(header::ALLOW, value);
    }
    Some(answer)
}

/// Splits the path into service and inner path, and removes the headers that are not forwarded.
fn forwarded_parts(mut parts: Parts) -> ApiResult<(ServiceName, Parts)> {
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let rest = target.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let name_end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, inner) = rest.split_at(name_end);
    let inner = if inner.starts_with('/') { inner.to_owned() } else { format!("/{inner}") };
    let service = ServiceName::from(name);
    parts.uri = inner
        .parse()
        .map_err(|_| ErrorAnswer::not_run(RefusalReason::BadRequest, "The path is malformed."))?;
    for name in UNFORWARDED_HEADERS {
        parts.headers.remove(name);
    }
    Ok((service, parts))
}

fn plain_answer(response: PlainResponse) -> Response<AnswerBody> {
    let mut answer = Response::new(whole_body(response.body));
    *answer.status_mut() = response.status;
    *answer.headers_mut() = response.headers;
    answer
}

fn with_request_id(mut answer: Response<AnswerBody>, id: &RequestId) -> Response<AnswerBody> {
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        answer.headers_mut().insert("x-request-id", value);
    }
    answer
}
